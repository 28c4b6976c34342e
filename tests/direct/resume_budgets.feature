Feature: The retries that a stream takes from the budget

  # Guards against a budget that one stream empties with requests that were not sent.
  Scenario: Endpoints at which no connection is free cost a stream one retry in all
    When the endpoint of a stream pauses while no connection to the others is free
    Then the caller gets the stream, which took at most 1 retry from the budget
