Feature: Requests with a deadly part come for longer than a quarantine lasts

  As in crashes.feature: no connection is opened, and time is simulated.

  # Guards against endpoints that crash again each time that a quarantine has ended.
  Scenario: One part crashes each endpoint that answers it, for ten minutes
    Given 8 routers that learn of reports after 500 ms
    When prompts with one deadly part come every 300 ms for 620 s
    Then at most 3 of them are sent later than 3000 ms after the fifth crash
