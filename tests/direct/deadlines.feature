Feature: A stream that reaches its deadline

  # Guards against a run for a caller that has given up.
  Scenario: A stream that has reached its deadline is not sent to another endpoint
    When a stream lasts longer than its caller waits
    Then only one endpoint got the request
