Feature: Routers that share limits are counted while their entries may have lapsed

  # Guards against routers that each take a larger share of a limit or a budget, as an
  # outage of the store has removed the others' entries.
  Scenario Outline: The entries of seven of eight routers are missing after <event>
    Given a router that knows seven others
    When their entries are missing after <event>
    Then it still shares the retry budget and a limit with seven others
    And half a minute later it doesn't

    Examples:
      | event       |
      | a full read |
      | an event    |

  Scenario: Lapsed entries are written again
    Given a router that knows seven others
    When their entries are removed and written again
    Then half a minute later it still shares them with seven others
