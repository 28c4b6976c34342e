Feature: Routers that watch the store for others

  # The load: every router watching for itself makes calls grow with the routers.
  Scenario Outline: <n_routers> routers in <n_centres> data centres need few watchers
    When <n_routers> routers in <n_centres> data centres choose whom to follow
    Then at most <n_watchers> of them watch the store
    And no watcher has more than <n_followers> followers
    And everybody follows a router that watches

    Examples:
      | n_routers | n_centres | n_watchers | n_followers |
      | 1         | 1         | 1          | 0           |
      | 6         | 3         | 1          | 5           |
      | 8         | 4         | 1          | 7           |
      | 46        | 4         | 4          | 11          |
      | 68        | 6         | 6          | 11          |
      | 600       | 26        | 52         | 16          |
      | 1000      | 6         | 66         | 16          |

  Scenario: Without the first watcher the group follows the next one
    When 12 routers in 1 data centres find that the first watcher has failed
    Then they follow one other router, which watches the store

  Scenario: After two watchers that fail a router watches for itself
    When 12 routers in 1 data centres find that the first two watchers have failed
    Then each of the others watches the store
    And the two that failed follow one of those

  # Guards against changes that wait for one watcher's narrow link to the store, and then
  # for its answers to all others (CONFIG, DRAIN).
  Scenario Outline: <n_routers> routers in <n_centres> data centres, some on wide links
    When <n_routers> routers choose whom to follow, <n_wide> in each of <n_centres> data centres on a link of 200 Mbit/s, the others of 10
    Then every router on a narrow link follows one on a wide link
    And everybody follows a router that watches

    Examples:
      | n_routers | n_centres | n_wide |
      | 46        | 4         | 2      |
      | 26        | 4         | 1      |
      | 600       | 26        | 2      |

  Scenario: A router that joins moves few of the others
    When a router joins 600 others in 26 data centres
    Then at most 40 routers change whom they follow

  Scenario Outline: Times for changes that must be in force within <in_force_ms> ms
    When changes must be in force within <in_force_ms> ms
    Then two watchers that do not answer are given up within 0.75 of that time
    And a follower's word is confirmed again within 0.375 of that time

    Examples:
      | in_force_ms |
      | 2000        |
      | 3000        |
      | 4000        |
