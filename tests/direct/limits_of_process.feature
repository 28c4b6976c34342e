Feature: A router keeps to what its settings and its callers allow

  # Guards against routers that go on calling a store that has moved.
  Scenario: The settings name a new address of the store
    Given a router and its store
    When the settings name another store, which holds version 5
    Then version 5 comes into force
    And the log of the reload names no setting that needs a restart

  Scenario: The settings change what is in use since the start
    Given a router and its store
    When the settings name another address for callers
    Then callers are served at the old address
    And the status page names callers_address as not applied

  # Guards against a call that waits a second for each silent connection of a pool.
  Scenario: All idle connections to a server have gone silent
    Given a client with 3 idle connections to a server that has gone silent on them
    When it sends a request that times out
    Then the next request is answered on a new connection

  # Guards against orders run for callers that have given up.
  Scenario: A body is not whole within its caller's time
    Given a router and its store
    When a caller that waits 300 ms sends half of an order's body
    Then the order is refused with 408 as not run, and has not run

  # Guards against a promise that an order has not run, made by an endpoint that ran it.
  Scenario Outline: An endpoint answers <path> with 503 and does not say that it has not run
    Given a router whose endpoint answers so
    When a request to <path> is sent
    Then its caller gets <status>

    Examples:
      | path    | status |
      | /order/ | 502    |

  # Guards against a part of an answer that passes as whole behind a router that froze.
  Scenario: A router stands still while an unframed answer ends
    Given an unframed answer that ended as its endpoint accepts connections
    When the router had stood still meanwhile
    Then the answer counts as broken off

  Scenario: An endpoint is listed with another start as an unframed answer ends
    Given an unframed answer that ended as its endpoint accepts connections
    When the endpoint is listed with a later start
    Then the answer counts as broken off

  # Guards against a word that an endpoint leaves behind a large configuration.
  Scenario: The store's word is late while a large configuration is on its way
    Given a router that waits for a read of everything
    When an endpoint is said to leave
    Then the router knows it within the time that changes may take

  Scenario: The store does not answer at all
    Given a router whose store fails
    When the bound on changes passes several times
    Then the endpoints were not read by themselves
