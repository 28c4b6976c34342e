Feature: A connection whose process was stopped for a while

  # Guards against a live peer that counts as silent because the process itself was late.
  Scenario: A live peer does not count as silent after a stop of the process
    When a process with work in flight is stopped for longer than a peer may be silent
    Then its connection to a live peer stays open

  # Guards against a dead peer that is never noticed.
  Scenario: A peer that is silent after a stop is noticed
    When a process with work in flight is stopped and its peer is silent from then on
    Then its connection is closed for the reason of silence

  # Guards against a peer that counts as unreachable because this process was busy.
  Scenario: A connection that was made while the loop was busy is used
    When the loop is busy past the connect timeout while a peer accepts a connection
    Then the connection is open
