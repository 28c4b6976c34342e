Feature: A request that crashes endpoints is refused by every router

  Three routers share one store. Endpoints crash as they begin to run a certain request,
  before any byte of its answer, and start again after 0.3 s under new names. It comes
  again with other request ids, each time at another router. Others that come meanwhile
  have answers.

  # Guards against crash after crash for as long as a request comes that is no prompt.
  Scenario Outline: One request crashes each endpoint that begins to run it
    When one <kind> that crashes endpoints comes every <every> ms for <duration> s
    Then at most 3 of its arrivals are later than 1 s after the third crash
    And endpoints crash at most <most> times
    And the last ones are refused at once as not run and quarantined
    And every router names that request alone as quarantined

    Examples:
      | kind   | every | duration | most |
      | lookup | 1200  | 6        | 4    |
      | lookup | 300   | 5        | 6    |
      | order  | 1200  | 8        | 3    |
      | order  | 300   | 5        | 6    |
      | prompt | 1200  | 6        | 4    |

  # Guards against a pause between a caller's repeats, each of them a few at once.
  Scenario: A lookup comes three times in a moment, and again after a pause
    When one lookup that crashes endpoints comes in bursts of 3, one every 2500 ms
    Then at most 3 of its arrivals are later than 1 s after the third crash

  # Guards against sound requests refused as all endpoints went down under them.
  Scenario: All endpoints are killed at once, twice
    When every endpoint is killed under a popular lookup and many different ones
    Then no key is quarantined at any router
    And the lookup has its whole answer

  # Guards against a sound order refused as it, and its repeat, met a crash.
  Scenario: A sound order is lost in two crashes
    When one order is lost in 2 crashes that it did not cause
    Then the order has its whole answer
    And no key is quarantined at any router

  # Guards against a sound request that waits for a probe before it is sent again.
  Scenario: Endpoints that are up reset connections
    When endpoints that are up reset 20 lookups, each once
    Then each of them has its answer before a probe's end
    And no router probes an endpoint more than once at a time
    And no router holds a report

  # Guards against a cut link taken for a crash of all endpoints behind it.
  Scenario: Endpoints can no longer be reached
    When 20 orders are lost as their endpoints can no longer be reached
    Then no router holds a report

  # Guards against probes of a part that crash endpoints turn after turn, as they are
  # lost before the head of their answer.
  Scenario: Probes of a quarantined part crash endpoints before their answers begin
    When prompts with a quarantined part that now crash endpoints at once come for 3 s
    Then endpoints crash at most 1 times

  # Guards against a sound request refused for two days, as no probe of it can be good.
  Scenario: A lookup of something missing is lost in crashes, and answered between
    When a lookup that is answered with 404 is lost in 4 crashes that it did not cause
    Then the lookup is answered with 404
    And no key is quarantined at any router

  # Guards against routers that all send a request again as the endpoints have started,
  # after it was lost at several of them at once (BUDGET).
  Scenario Outline: One request comes at every router at once, and again after a pause
    When one <kind> that crashes endpoints comes at every router at once, each 2500 ms
    Then at most 3 of its arrivals are later than 1 s after the third crash
    And endpoints crash at most 8 times

    Examples:
      | kind   |
      | lookup |
      | order  |
      | prompt |

  # Guards against a popular lookup that stays refused after a total outage.
  Scenario: A lookup that no router has answered is lost at all endpoints at once
    When a lookup is lost at all endpoints at once, and then comes again for 7 s
    Then it is held back at first, and then answered by every router
    And no key is quarantined at any router

  # Guards against crash after crash by a prompt whose answer had begun (BUDGET).
  Scenario Outline: One prompt crashes each endpoint after its first events
    When one <kind> prompt that crashes endpoints after <n> events comes for 8 s
    Then at most 3 of its arrivals are later than 1 s after the third crash
    And endpoints crash at most 4 times
    And the last ones are refused at once as not run and quarantined
    And every router names that request alone as quarantined

    Examples:
      | kind      | n |
      | single    | 1 |
      | single    | 4 |
      | resumable | 1 |
      | resumable | 4 |

  # Guards against sound chats refused as they, and their repeats, met a crash.
  Scenario: A sound chat is cut in two crashes, among others
    When one chat is cut in 2 crashes that it did not cause, and many others are
    Then the chat has its whole answer
    And no key is quarantined at any router

  # Guards against a deadly prompt that is lost as it is resumed, before its head.
  Scenario: One prompt crashes endpoints, and is lost before the head as it is resumed
    When one prompt crashes endpoints after 1 event, and at once as it is resumed
    Then at most 3 of its arrivals are later than 1 s after the third crash
    And endpoints crash at most 4 times
