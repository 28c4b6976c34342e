Feature: A fleet of the bench that grows stays one fleet

  Guards against a growth that renames the fleet: its processes then reject the frames of
  those that started at another size, so rules and loads no longer spread among them.

  Scenario: Processes that start at different sizes accept one another's frames
    When a fleet grows from 2 to 5 processes and one of its routers is replaced
    Then each of its 5 processes answers a member of the fleet with the rules in force
