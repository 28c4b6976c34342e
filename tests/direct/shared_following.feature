Feature: Routers that go by the word of one that watches the store

  # The load: a fleet in which each router watches for itself.
  Scenario: One of six routers watches the store, and all hear of a change
    Given 6 routers that know each other
    When a new configuration is published
    Then every router has it in force in time
    And one router watches the store, the others follow it
    And the store gets at most 4 calls a second from all of them

  # The store of trouble days: silent for longer than tokens are good without it.
  Scenario: A store that falls silent is young at every router, and tokens end in time
    Given 6 routers that know each other
    When the store falls silent
    Then the word of every router is at most 0.375 of the bound old
    And every router serves tokens until its word is too old, and none after it
    And callers who are refused are told to come back after 0.2 to 0.35 s

  Scenario Outline: A watcher that <fault> doesn't keep a change from its followers
    Given 6 routers that know each other
    When the watcher <fault> and a new configuration is published
    Then every other router has it in force in time

    Examples:
      | fault                    |
      | ends                     |
      | answers no follower      |
      | is cut off the store     |
      | starts to drain          |

  Scenario: A router without a way to the store serves tokens by a watcher's word
    Given 6 routers that know each other
    When a follower is cut off the store for longer than tokens are good
    Then it serves tokens all the while
    And it refuses a token in time after it was removed

  # Guards against a word that counts as newer than it is.
  Scenario Outline: A word that arrives <delay_ms> ms late is as old as it was
    When a watcher whose store confirmed 100 ms ago answers <delay_ms> ms late
    Then the word is at least <age_ms> ms old to its follower

    Examples:
      | delay_ms | age_ms |
      | 0        | 100    |
      | 300      | 400    |

  Scenario Outline: An answer <fault> is not believed
    Given 6 routers that know each other
    When a follower gets an answer <fault>
    Then it follows that watcher no more, and its configuration holds

    Examples:
      | fault                        |
      | under another key            |
      | to an earlier request        |
      | that is cut off              |
      | of a store's earlier era     |
      | whose word is too old        |

  Scenario Outline: A request <fault> is told nothing
    Given 6 routers that know each other
    When the watcher gets a request <fault>
    Then it answers <status> and nothing of what the store holds

    Examples:
      | fault                             | status |
      | without a digest                  | 403    |
      | under another key                 | 403    |
      | for a revision that is no number  | 400    |

  Scenario: A router that follows another one answers no followers
    Given 6 routers that know each other
    When a follower gets a request of another router
    Then it answers 409 and nothing of what the store holds

  Scenario: A router that tells no key is nobody's watcher
    Given 6 routers that know each other
    When the watcher's entry is written as one without a key
    Then every other router goes on by another watcher

  Scenario: Followers read a restored store anew
    Given 6 routers that know each other
    When the store is restored from a copy and a new configuration is published
    Then every router has it in force in time
    And every router has seen the store's new era
