Feature: Routers tell each other of overloaded endpoints

  # Guards against a router that sends to an overloaded endpoint it has not heard from.
  Scenario: A router learns of an overloaded endpoint from another router
    Given two routers and 4 endpoints
    When the home of a prompt reports 40 requests to the first router
    Then the second router sends the prompt to another endpoint

  # Guards against a router that sends to an endpoint of whose leaving only another
  # router has heard.
  Scenario: A router learns from another router that an endpoint leaves
    Given two routers and 4 endpoints
    When the home of a prompt says to the first router that it leaves
    Then the second router sends the prompt to another endpoint

  Scenario: A datagram about another start of an endpoint changes nothing
    Given two routers and 4 endpoints
    When the second router is told that an earlier start of an endpoint leaves
    Then it still uses all endpoints

  Scenario Outline: A datagram <kind> changes nothing
    Given two routers and 4 endpoints
    When the second router gets a datagram <kind>
    Then it counts the datagram as dropped and knows no load

    Examples:
      | kind                               |
      | from an address that no router has |
      | about an endpoint that nobody lists |
      | with a negative load               |
      | with an enormous load              |
      | with a start that is no number     |
      | with a start that is never         |
      | with a load that is no number      |
      | without a load                     |
      | of another kind                    |
      | of bytes that are no text          |
      | longer than any message            |

  Scenario: A router serves although its port for datagrams is taken
    When a router starts whose port for datagrams is taken
    Then it answers a request

  # Guards against a router that starts while the store is an older copy, and lets
  # removed tokens in or refuses what a newer configuration allows (CONFIG).
  Scenario: A router starts on a store that was restored to an older configuration
    Given two routers and 2 endpoints
    When the store is restored to an older configuration, and a third router starts
    Then the third router refuses requests as not run, and is not ready
    And it answers once the newer configuration is written again

  # Guards against routers that refuse for ever what the store will not hold again.
  Scenario: The newer configuration is never written again
    Given two routers and 2 endpoints
    When the store keeps an older configuration, and a third router has waited
    Then the third router goes by the store

  # Guards against routers that refuse requests while a change is on its way to them.
  Scenario: A router that starts has read a change before the others
    Given two routers and 2 endpoints
    When a router with a newer configuration asks the second one for its version
    Then the second one answers requests
