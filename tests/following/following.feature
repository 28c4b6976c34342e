Feature: Simulated days of routers that follow a store and each other

  # Lost, late and reordered messages, cuts, restarts, joins, restores, all overlapping.
  Scenario Outline: <n_routers> routers keep their promises
    Given <n_routers> routers that follow a store
    When they play the days of seeds <first> to <last>
    Then no promise is broken

    Examples:
      | n_routers | first | last |
      | 4         | 1     | 6    |
      | 14        | 7     | 10   |

  # Each router alone with a store that has dropped its history.
  Scenario: The store is back, and no router hears another
    Given 8 routers that follow a store
    When the store has been away and has dropped its history, from seeds 1 to 50
    And no router hears another from 0 to 2500 ms after that
    Then every router is current once the store has been well for 3000 ms

  Scenario Outline: Days on which routers <fault> are found
    Given 8 routers that follow a store
    When they <fault> on the days of seeds <first> to <last>
    Then a promise is broken

    Examples:
      | fault                      | first | last |
      | count no age on the way    | 1     | 60   |
      | take an older era          | 70    | 130  |
      | believe a watcher for ever | 1     | 60   |
