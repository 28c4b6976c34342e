Feature: A drain that begins while a request arrives

  # Guards against a request that is cut off after a part of it was read.
  Scenario: A request whose head is half read when a drain begins is answered
    When a drain begins after half of a head
    Then its answer has the status "200"

  # Guards against a request that is there, but not read yet, when its connection is closed.
  Scenario: A request that has arrived unread when a drain begins is answered
    When a drain begins before a request that has arrived is read
    Then its answer has the status "200"

  # Guards against a close by a task that does not look at the socket once more.
  Scenario: A request that arrives in the turn in which a drain begins is answered
    When a drain begins just before a request arrives
    Then its answer has the status "200"

  # Guards against a request that is cut because the loop was busy at the end of the drain.
  Scenario: A request that is nearly answered while the loop is busy past the drain is answered
    When a request's handler goes on while the loop is busy past the end of a drain
    Then its answer has the status "200"
