Feature: A stream with neither a length nor chunks

  # Guards against a broken answer that looks complete.
  Scenario: A stream that ends inside an event is not passed on as complete
    When the connection of a stream without a length ends inside an event
    Then the answer is incomplete
