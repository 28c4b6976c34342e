Feature: A large configuration is decoded in slices

  # Guards against requests that wait while a router decodes a configuration in one go.
  Scenario: Other tasks run while a configuration of 1,450 routes is decoded
    When a configuration of 1450 routes is read from the store
    Then the event loop is never busy for over 0.4 of the time that it takes
    And the configuration is whole

  # Guards against a configuration in force of which a part can't be read.
  Scenario: A configuration whose last route is invalid is not taken in part
    When a configuration of 1450 routes is read whose last route is invalid
    Then no configuration is found
