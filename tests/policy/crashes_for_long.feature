Feature: Requests with a deadly part come for longer than a quarantine lasts

  As in crashes.feature: no connection is opened, and time is simulated.

  # Guards against endpoints that crash again each time that a quarantine has ended.
  Scenario: One part crashes each endpoint that answers it, for ten minutes
    Given 8 routers that learn of reports after 500 ms
    When prompts with one deadly part come every 300 ms for 620 s
    Then at most 3 of them are sent later than 3000 ms after the fifth crash

  # Guards against probes that come too often, or at many routers at once.
  Scenario Outline: One part crashes each endpoint that answers it, for long
    Given <n> routers that learn of reports after <delay> ms
    When prompts with one deadly part come every <every> ms for <duration> s
    Then at most 3 of them are sent later than 3000 ms after the fifth crash
    And no prompt without the part is refused

    Examples:
      | n  | delay | every | duration |
      | 8  | 500   | 300   | 3600     |
      | 1  | 10    | 300   | 3600     |
      | 15 | 1000  | 100   | 1200     |
      | 60 | 500   | 100   | 1200     |
      | 8  | 500   | 5000  | 86400    |

  # Guards against a router that starts while a part is quarantined and holds it for a
  # time of its own.
  Scenario: Routers start while a deadly part is quarantined
    Given 8 routers that learn of reports after 500 ms
    When prompts with one deadly part come every 300 ms for 3600 s
    And a router starts every 300 s for 3600 s
    Then at most 3 of them are sent later than 3000 ms after the fifth crash

  # Guards against a part that is refused for long though endpoints are repaired.
  Scenario Outline: Endpoints are repaired
    Given <n> routers that learn of reports after 500 ms
    When prompts with one deadly part come every 300 ms for <duration> s
    And the endpoints are repaired after <repaired> s
    Then prompts with the part are answered <later> s later, and none refused then

    Examples:
      | n  | repaired | later | duration |
      | 8  | 20       | 190   | 300      |
      | 1  | 20       | 190   | 300      |
      | 60 | 20       | 240   | 300      |
      | 8  | 240      | 700   | 1200     |

  # Guards against a Retry-After that ends before a request may be sent, or long after.
  Scenario: A refused caller is told when the key is probed next
    Given 1 router that learns of reports after 10 ms
    When prompts with one deadly part come every 300 ms for 20 s
    Then one refused later is told a time in which none may be sent, and then one may

  # Guards against a part of one team that another one gets refused for long.
  Scenario Outline: A team gets the part of another one blamed
    Given 8 routers that learn of reports after 500 ms
    When a team sends <prompts> that crash endpoints every 300 ms for 300 s
    And another team sends sound prompts with that part every 500 ms from 30 s to 300 s
    Then the other team's prompts are answered later than 120 s

    Examples:
      | prompts                              |
      | prompts with that part               |
      | prompts with a deadly part behind it |
