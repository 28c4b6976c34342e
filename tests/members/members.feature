Feature: The cost of reading the instance list does not depend on the fleet's size

  Scenario: the full list is read at the start, and then at an interval that grows with its size
    Given an instance list of 400 agents in 4 data centres
    When a process reads it at 0, 5000, 9000, 60000 ms
    Then it read the full list 1 times and its data centre's list 3 times
    And it knows 400 endpoints

  Scenario: a small list is read in full more often
    Given an instance list of 8 agents in 4 data centres
    When a process reads it at 0, 5000, 11000, 22000 ms
    Then it read the full list 3 times and its data centre's list 1 times

  Scenario: the full list is read early when a service has no usable endpoint left
    Given an instance list of 400 agents in 4 data centres
    When a process reads it at 0, 5000 ms
    And all known endpoints drain
    And a process reads it at 11000, 13000 ms
    Then it read the full list 2 times and its data centre's list 2 times

  Scenario: an agent keeps endpoints of other data centres only for its own service
    Given an instance list of 400 agents in 4 data centres
    When an agent of service s0 reads it at 0 ms
    Then it knows 160 endpoints

  Scenario: the processes of a data centre share one read rate
    Given a data centre of 461 agents
    Then its processes together read the list at most 20 times a second

  Scenario: the index by service and data centre matches a full scan
    Then the member table returns the same endpoints as a full scan after any 30 changes
