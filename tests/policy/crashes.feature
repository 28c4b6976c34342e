Feature: Requests are held against what crashes the endpoints that run them

  No scenario here opens a connection. Each router holds its own evidence; a report or a
  clearance reaches the other routers after a delay. Time is simulated.

  # Guards against a part in prompts that all differ: crashes go on while they come.
  Scenario Outline: One part crashes each endpoint that answers it
    Given 8 routers that learn of reports after <delay> ms
    When prompts with one deadly part come every <every> ms for 20 s
    Then at most 3 of them are sent later than 3000 ms after the fifth crash
    And the deadly part alone is quarantined at every router

    Examples:
      | delay | every |
      | 500   | 4000  |
      | 500   | 1000  |
      | 500   | 300   |
      | 1000  | 100   |
      | 10    | 100   |
      | 500   | 30    |

  # Guards against a part that is let through as each prompt's caller repeats it.
  Scenario: Two prompts with one deadly part are each repeated by their callers
    Given 8 routers that learn of reports after 500 ms
    When two prompts with one deadly part are each sent again every 1000 ms
    And prompts that share its other parts come every 200 ms for 20 s
    Then the deadly part is quarantined at every router, and no other part

  # Guards against wider parts blamed for the narrower ones that share them.
  Scenario: Two deadly parts come with the same first part
    Given 8 routers that learn of reports after 500 ms
    When prompts with one deadly part come every 300 ms for 20 s
    And prompts with another deadly part come every 300 ms for 20 s
    Then both deadly parts are quarantined at every router, and no other part

  # Guards against a total outage that is held against the parts of what was running.
  Scenario: Every endpoint of a service is lost at the same moment
    Given 8 routers that learn of reports after 500 ms
    When 9 endpoints crash at once, each with prompts of every router
    Then no part is quarantined

  # Guards against a rolling outage that is held against a part that many prompts share.
  Scenario: Endpoints crash one after the other while others answer
    Given 8 routers that learn of reports after 500 ms
    When an endpoint crashes every 2000 ms for 60 s while prompts are answered
    Then no shared first part is quarantined

  # Guards against a caller who gets a part of others refused with prompts that crash.
  Scenario: A caller names a sound part in prompts that crash endpoints
    Given 8 routers that learn of reports after 500 ms
    When one request that crashes endpoints comes every 500 ms for 20 s
    And prompts that share its parts come every 200 ms for 20 s
    Then that request alone is quarantined

  # Guards against a quarantine that lasts for ever though no request comes to end it.
  Scenario: A quarantine ends
    Given 1 router that learns of reports after 10 ms
    When prompts with one deadly part come every 300 ms for 20 s
    And 172801 s pass
    Then no part is quarantined
    And nothing is held any more

  # Guards against memory that grows with each crash, request or answer.
  Scenario: The evidence is bounded
    Given 1 router that learns of reports after 10 ms
    When 10000 different requests are lost, cleared and answered
    Then at most 256 reports, 256 cleared keys and 1024 sound keys are held
    And a key that all of them share is cleared of at most 256 crashes
