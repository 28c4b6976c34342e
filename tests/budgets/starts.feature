Feature: Repeats stay within the fleet's budget while real routers start again

  # Guards against routers that each get a full share of the budget at each start.
  Scenario Outline: Four routers are killed <n> times in ten seconds while <endpoints>
    Given four routers before six endpoints, of which <endpoints>
    When 60 lookups a second are sent and all routers are killed <n> times
    Then in no ten seconds there are more repeats than allowed
    And no lookup ran at more endpoints than its route allows

    Examples:
      | endpoints            | n |
      | all answer 500       | 5 |
      | all refuse           | 5 |
      | all break off        | 5 |
      | half answer 500      | 5 |
      | all answer well      | 5 |
      | all answer 500       | 0 |
