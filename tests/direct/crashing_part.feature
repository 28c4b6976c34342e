Feature: A prompt part that crashes endpoints is refused by every router

  Three routers share one store. Endpoints crash as they begin to answer a prompt with
  a certain part, and start again after 0.3 s under new names. Such prompts come at all
  routers, no two alike; sound ones share their other parts.

  # Guards against crash after crash for as long as prompts with the part come.
  Scenario: Prompts with a crashing part come at every router
    When prompts with a crashing part come among sound ones for 4 s
    Then at most 3 of them reach an endpoint later than 1 s after the fifth crash
    And the later ones are refused at once as not run and quarantined
    And every sound prompt sent later than 1 s after the fifth crash has its whole answer
    And a router that starts later refuses the part too
    And every router's pages for operators name the part, and no other

  # Guards against one prompt that takes down an endpoint with each of its attempts.
  Scenario: One prompt with a crashing part comes
    When one prompt with a crashing part comes, and another one a second later
    Then each of them crashed one endpoint and its caller learns that it may have run
    And a third one is refused as not run and quarantined

  # Guards against a router that forgets its own crashes while the store is away.
  Scenario: The store is away meanwhile
    Given a store that is silent from the first prompt on
    When prompts with a crashing part come among sound ones for 4 s
    Then each router sent at most 6 of them to endpoints
    And the routers share their reports within 2 s of the store's return

  # Guards against a part that is refused for long though endpoints are repaired.
  Scenario: Endpoints are repaired
    Given a first hold of 1 s, and turns of 0.4 s to probe
    When prompts with a crashing part come for 1 s, and 5 s more to repaired endpoints
    Then at most 5 of them crashed an endpoint
    And every router answers prompts with the part in the last second

  # Guards against probes by every router once a hold is over.
  Scenario: Endpoints are not repaired
    Given a first hold of 1 s, and turns of 0.4 s to probe
    When prompts with a crashing part come for 7 s, and 0 s more to repaired endpoints
    Then at most 6 of them crashed an endpoint
    And the last one is refused as not run and quarantined

  # Guards against a broken answer of an endpoint that is up counted as a crash.
  Scenario: Endpoints that are up break off answers after the head
    When endpoints break off 12 prompts with one part before the first event
    Then a prompt with that part has its whole answer

  # Guards against an answer that was cut late and is then neither resent nor sound.
  Scenario Outline: What counts as lost while its answer began
    When a prompt on a <route> is lost <stage>
    Then that <counts> as lost while its answer began

    Examples:
      | route  | stage                    | counts         |
      | stream | after the head           | counts         |
      | stream | before the head          | does not count |
      | lookup | in the body              | does not count |

  # Guards against a sound part refused because its callers hang up or get errors.
  Scenario: Callers of a sound part hang up, and endpoints fail it
    When callers hang up on prompts with one part, and endpoints fail more of them
    Then a prompt with that part has its whole answer
