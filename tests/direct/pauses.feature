Feature: A router that was busy while nothing could arrive

  # Guards against an attempt that is abandoned for the time that this process lost.
  Scenario: A stream is not abandoned because the loop was busy
    When the loop is busy for 1400 ms while an endpoint streams
    Then every event arrives, from one endpoint
