Feature: The policy keeps its invariants under churn

  Scenario: gates respect the load bound, drains, refusals and pointers under churn
    When the fleet state machine runs
    Then it finds no fault

  Scenario: the queue keeps the shares of any two teams within one request of each
    When the fairness state machine runs
    Then it finds no fault

  Scenario Outline: the state machines find an injected fault
    Given the fault "<fault>"
    When the <machine> state machine runs
    Then it finds a fault with the message "<message>"

    Examples:
      | fault                              | machine  | message                 |
      | the load bound is ignored          | fleet    | exceeded its load bound |
      | the mean counts this load twice    | fleet    | the mean is wrong       |
      | a drain is ignored                 | fleet    | after its drain         |
      | redirects are not bounded          | fleet    | redirected too often    |
      | pointers lead to pointers          | fleet    | to another pointer      |
      | expired requests start             | fleet    | an expired request      |
      | refused requests stay queued       | fleet    | a refused request ran   |
      | notices are never resent           | fleet    | a warm chat was lost    |
      | old samples replace newer ones     | fleet    | the mean is wrong       |
      | teams are served by arrival time   | fairness | differ by more than     |
      | batch is served before interactive | fairness | AssertionError          |
