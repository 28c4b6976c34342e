Feature: A drain while a caller reads its response slowly

  # Guards against a response that is cut by the close of an idle connection.
  Scenario: A response that is not read yet when a drain begins is sent to its end
    When a drain begins after a response that its caller has not read yet
    Then the caller gets the whole response

  # Guards against a response that is cut by the end of the process.
  Scenario: A response that is read late is sent to its end before the drain ends
    When a drain begins before a response that its caller reads late
    Then the caller gets the whole response
