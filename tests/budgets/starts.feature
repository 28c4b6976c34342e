Feature: Repeats stay within the fleet's budget while real routers start again

  # Guards against routers that each get a full share of the budget at each start.
  Scenario Outline: Routers before <kind> are killed <n> times in 10 s, <endpoints>
    Given four routers before six endpoints, of which <endpoints>
    When 60 <kind> a second are sent and all routers are killed <n> times
    Then in no ten seconds there are more repeats than allowed
    And no request ran at more endpoints than its route allows
    And no endpoint was handed more time than the caller had left

    Examples:
      | kind    | endpoints       | n |
      | lookups | all answer 500  | 5 |
      | lookups | all refuse      | 5 |
      | lookups | all break off   | 5 |
      | lookups | all stay silent | 5 |
      | lookups | half answer 500 | 5 |
      | lookups | all answer well | 5 |
      | lookups | all answer 500  | 0 |
      | streams | all break off   | 5 |
      | streams | all cut events  | 5 |
