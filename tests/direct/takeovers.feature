Feature: A silent stream goes on while another endpoint is asked to take it over

  The router asks a second endpoint to resume the stream, which does not answer.

  # Guards against events that lie unread while the router waits for a second endpoint.
  Scenario: Events of the first endpoint are passed on while the second one does not answer
    When the first endpoint of a stream goes on while the second one does not answer
    Then the caller gets every event before the deadline
    And no endpoint is at work on the stream

  # Guards against an exchange that stays open when the caller leaves in the middle of it.
  Scenario: Both endpoints are released when the caller leaves
    When the caller of a silent stream leaves while the second endpoint does not answer
    Then no endpoint is at work on the stream
    And no connection is open
