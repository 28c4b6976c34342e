Feature: An endpoint gets no more requests than it names, from all routers together

  # Guards against an endpoint that names a limit and gets it from each router.
  Scenario: Three routers and an endpoint that names 4 requests a second
    Given 3 routers, an endpoint that names a limit of 4, and a free one
    When callers send 60 requests a second for 5 s
    Then all are answered
    And in no 4 s from half a second on the limited endpoint gets more than 29
    And from half a second on it gets at least 9

  Scenario Outline: An endpoint that names the limit <value> gets <expected>
    Given 1 routers, an endpoint that names a limit of <value>, and a free one
    When callers send 40 requests a second for 2 s
    Then all are answered
    And the limited endpoint gets <expected>

    Examples:
      | value | expected |
      | 0     | almost nothing |
      | 0.0   | almost nothing |
      | -3    | its part |
      | 1e999 | its part |
      | nan   | its part |
      | many  | its part |
      | 100000000000000000000000000 | its part |

  # Guards against callers that wait, or come back too early, while all are limited.
  Scenario: All endpoints of a service have used up their limits
    Given 1 routers and a single endpoint that names a limit of 0.5
    When three requests are sent at once
    Then the last is refused at once as not run, to come back within two seconds

  Scenario: An answer that names no limit ends it
    Given 1 routers, an endpoint that names a limit of 0, and a free one
    When the endpoint names none any more in its next answer
    Then its limit has ended

  Scenario Outline: An answer <kind> leaves the limit as it was
    Given 1 routers, an endpoint that names a limit of 2, and a free one
    When the endpoint's next answer is <kind>
    Then its limit is still 2

    Examples:
      | kind                           |
      | an error that names none       |
      | one with a limit that is no number |

  # Guards against a limit that outlives the endpoint that named it.
  Scenario: An endpoint starts again under its name
    Given 1 routers, an endpoint that names a limit of 0, and a free one
    When a later start of the endpoint is listed
    Then it has no limit

  # Guards against a router that sends to an endpoint whose limit only others have heard.
  Scenario: A router learns of a limit from another router
    Given 2 routers, an endpoint that names a limit of 2, and a free one
    When only the first router hears the limit
    Then the second router knows it as well

  # Guards against routers that are no senders and don't hear that a limit has ended.
  Scenario: A router learns from another router that a limit has ended
    Given 2 routers, an endpoint that names a limit of 0, and a free one
    When both know the limit and the first router hears that it has ended
    Then the second router may send one request to the endpoint

  # Guards against a rejection of a misdirected request that is taken for the endpoint's
  # own word.
  Scenario: Another endpoint at the address names a limit
    When a misdirected request is rejected with a limit and a load
    Then the endpoint that was asked has no limit and no load
