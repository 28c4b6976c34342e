Feature: An endpoint that can be reached again

  # Guards against a second run because of a connection that failed some time ago.
  Scenario: A stream at an endpoint that was just connected to is not sent again
    When a stream pauses at an endpoint that could not be reached before
    Then the stream ran at one endpoint and is complete
