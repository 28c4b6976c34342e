Feature: SIGTERM stops a router at any point of its start

  Guards against a stop that Python drops or turns into an error, because a signal
  handler raised an exception inside a callback of the import.

  Scenario Outline: SIGTERM at <point> stops a starting router with exit status 0
    When a router receives SIGTERM at <point> of its start
    Then it was sent during the start, and the router exits with 0 and no error

    Examples:
      | point                     |
      | an import lock's callback |
      | a class's __set_name__    |
      | the load of the settings  |
      | the creation of its loop  |
      | the setup of its handler  |
