Feature: A router that sends requests straight to endpoints

  Scenario: An endpoint gets the fleet's headers and none that are reserved
    When a caller sends headers that are reserved for the fleet
    Then the endpoint gets its own name, the team and the remaining time
    And it gets neither the token nor the reserved headers that the caller sent

  Scenario: An answer is passed on unchanged
    When a caller sends a request to a healthy endpoint
    Then the caller gets the endpoint's status, body and stamp

  Scenario Outline: The answer to <kind> if all endpoints are <behavior>
    When a caller sends <kind> while all endpoints are <behavior>
    Then the answer has the status <status> and the outcome "<outcome>"
    And it ran <runs> times

    Examples:
      | kind     | behavior | status | outcome | runs |
      | an order | full     | 503    | not-run | 0    |
      | an order | failing  | 500    |         | 1    |
      | an order | mute     | 504    | unknown | 1    |
      | an order | cutting  | 502    | unknown | 1    |
      | a lookup | cutting  | 502    | unknown | 2    |
      | a lookup | full     | 503    | not-run | 0    |
      | a lookup | failing  | 500    |         | 2    |
      | a stream | full     | 503    | not-run | 0    |

  Scenario: A refusal has a Retry-After in fractions of a second
    When a caller sends an order while all endpoints are full
    Then the answer's Retry-After is a fraction of a second

  Scenario: A lookup that fails at one endpoint is answered by another
    When a caller sends a lookup while the first endpoint is failing
    Then the answer has the status 200 and the outcome ""

  Scenario: A lookup at a mute endpoint is retried before its deadline
    When a caller sends a lookup while the first endpoint is mute
    Then the answer has the status 200 and the outcome ""
    And it arrived before half of the timeout had passed

  Scenario: A stream that breaks off is resumed at another endpoint
    When a caller reads a resumable stream from an endpoint that breaks off
    Then it gets every event once and in order, and the stream is complete
    And the second endpoint was asked to resume after the last whole event

  Scenario: A stream that may not be resumed ends incomplete
    When a caller reads a non-resumable stream from an endpoint that breaks off
    Then the stream ends incomplete
    And only one endpoint ran it

  Scenario: A repeated answer to an earlier request is skipped
    When an endpoint repeats its answer to an earlier request before the next one
    Then the caller gets the answer to its own request

  Scenario Outline: An answer without a length whose connection ends with a <end>
    When an endpoint ends an answer without a length with a <end>
    Then the answer has the status <status> and the outcome "<outcome>"

    Examples:
      | end   | status | outcome |
      | close | 200    |         |
      | reset | 502    | unknown |

  Scenario: The endpoint's work is cancelled when the caller hangs up
    When a caller hangs up on a stream
    Then the endpoint's work is cancelled within half a second

  Scenario: Tokens are not accepted when the store has been silent for too long
    When the store is silent for longer than tokens are accepted without it
    Then a request with a token is refused as not run for "configuration-stale"
    And a request on a public route is answered

  Scenario: A removed token stops working at once
    When a token is removed while its caller keeps its connection
    Then the next request on that connection is refused for "bad-token"

  Scenario: An older configuration does not replace a newer one
    When an older configuration is read after a newer one
    Then the newer one stays in force

  Scenario: A draining endpoint gets no new work
    When an endpoint starts draining
    Then no request reaches it

  Scenario: Entries that expired during an outage of the store have a grace period
    When the store returns from an outage without an endpoint's entry
    Then the endpoint is used until the grace period is over

  Scenario: An invalid entry does not affect other endpoints
    When invalid entries are written
    Then requests still reach the valid endpoints, also one listed later

  Scenario: The router reads the whole store again if its history is lost
    When the store loses its history and an endpoint joins
    Then requests reach the endpoint that joined

  Scenario: A stopping router refuses requests that would not finish in time
    When a router is stopping and the load balancer has removed it
    Then a stream is refused as not run for "draining"
    And a lookup is answered

  Scenario: A request that arrives before the first configuration waits for it
    When a request arrives before the store has answered
    Then it is answered after the configuration arrives

  Scenario: A missed short deadline does not count against an endpoint
    When a request with a short deadline gets no answer
    Then its endpoint is not in backoff

  Scenario: An endpoint that took over another's address does not run its requests
    When an endpoint's address is taken over by another service's endpoint
    Then the request is answered by an endpoint of its own service

  Scenario: A router that can't confirm tokens refuses at once and is not ready
    When the store is silent for longer than tokens are accepted without it
    Then the refusal came within 100 ms with a Retry-After of almost zero
    And the router is not ready

  Scenario: A watch that hangs is followed by a read
    When watches hang while the configuration changes
    Then the change is in force within its time limit

  Scenario: A silent stream is not abandoned when no retry is left
    When an endpoint is silent for a while and no retry is left
    Then the stream is complete, and one endpoint ran it

  Scenario: A router uses at most its share of an endpoint's connections
    When 15 callers stream at once from an endpoint that accepts 50 connections
    Then at most 11 of them run, and the others are refused as not run

  Scenario: A stream that can't be resumed leaves no request in flight
    When a stream breaks off and the other endpoint fails to resume it
    Then the stream ends incomplete
    And no endpoint counts a request in flight
