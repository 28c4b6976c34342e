Feature: An answer that arrives while the event loop is busy

  The loop is blocked for longer than the interval at which a silent endpoint is checked,
  as it is while a large configuration is decoded. The endpoint's bytes are there when the
  block ends.

  # Guards against a 504 for an order that its endpoint answered in time.
  Scenario: An order that was answered while the loop was busy is passed on
    When an endpoint answers an order while the loop is busy
    Then the answer is complete, with the status 200

  # Guards against a second run of a request that is answered already.
  Scenario: A lookup that was answered while the loop was busy is not sent again
    When an endpoint answers a lookup while the loop is busy
    Then the answer is complete, with the status 200
    And no other endpoint ran it

  # Guards against an answer that is cut although its endpoint completed it.
  Scenario: A stream whose last event arrived while the loop was busy is passed on
    When an endpoint ends a stream while the loop is busy
    Then the answer is complete, with the status 200

  # Guards against a wait that ends without a last look at the socket.
  Scenario: Bytes that arrived as a wait expired end it like others
    When an endpoint's bytes arrive as a wait for them expires
    Then the wait reports that bytes came

  # Guards against a 503 because this router was too busy to see that it was connected.
  Scenario: An endpoint that accepted a connection while the loop was busy is reachable
    When the loop is busy while the router connects to an endpoint
    Then the answer is complete, with the status 200
    And the endpoint does not count as unreachable
