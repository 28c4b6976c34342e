Feature: A router that is busy at the end of its drain

  # Guards against a request that is cut, with no answer, though its endpoint answered.
  Scenario: A lookup that was answered while the loop was busy past the drain is passed on
    When an endpoint answers a lookup while the loop is busy past the end of the drain
    Then the answer is complete, with the status 200

  # Guards against a drain that goes on until the process is killed.
  Scenario: A lookup that is not answered does not hold up the end of the drain
    When an endpoint does not answer a lookup before the end of the drain
    Then the caller gets 504 and the drain ends before the process would be killed
