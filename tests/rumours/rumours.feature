Feature: Crash reports reach the agents of a service without polling

  Scenario: a crash report reaches nearly all agents, in few messages
    Given 200 agents of one service
    When one of them reports a crash with 70 requests in flight, no datagrams lost
    Then 98 in 100 agents know every suspect
    And no agent forwarded any message twice

  Scenario: agents missed because of lost datagrams learn from the store
    Given 200 agents of one service
    When one of them reports a crash with 3 requests in flight, 40 in 100 datagrams lost
    And every agent reads the report from the store
    Then 100 in 100 agents know every suspect

  Scenario: a report of another service is ignored
    Given 2 agents of one service
    When a report of another service arrives
    Then no agent knows a suspect

  Scenario: the agents share one rate of store reads
    Given 200 agents of one service
    Then all of them together read the store at most once a second
