Feature: A handler's response that can't be sent

  # Guards against a request that gets neither an answer nor a refusal.
  Scenario Outline: The caller of a response with <fault> gets a 500
    When a handler returns a response with <fault>
    Then its answer has the status "500"
    And the failure is logged

    Examples:
      | fault                                 |
      | a content length below its body's     |
      | a content length above its body's     |
      | a content length that is not a number |
      | an invalid header name                |
      | a line end in a header value          |
