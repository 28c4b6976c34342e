Feature: Placement of prompts under changing load and membership

  No scenario here opens a connection: the decisions are computed over a list of
  endpoints, as several routers would make them.

  Scenario: A returning chat finds its context through any router
    Given 9 endpoints and 400 contexts
    When 6 routers place each context, each with the list in a different order
    Then all routers choose the same endpoint for each context

  Scenario: One endpoint joins
    Given 9 endpoints and 400 contexts
    When one endpoint joins
    Then at most 0.18 of the contexts move, all of them to the endpoint that joined
    And each moved context is copied from the endpoint that had it

  Scenario: One endpoint drains
    Given 9 endpoints and 400 contexts
    When one endpoint drains
    Then only its own contexts move
    And each moved context is copied from the endpoint that drains

  Scenario: One context gets a large part of the traffic
    Given 9 endpoints and 400 contexts
    When one context gets 0.4 of 900 requests that all stay in flight
    Then no endpoint holds more than twice the mean and 3 requests

  Scenario: All routers restart without any state
    Given 9 endpoints and 400 contexts
    When an endpoint has joined and then all routers restart
    Then all routers choose the same endpoints as before

  Scenario: All endpoints are over the bound
    Given 3 endpoints and 1 contexts
    When every endpoint holds the same large load
    Then an endpoint is still chosen

  Scenario: Short requests are spread evenly over the endpoints
    Given 4 endpoints and 1 contexts
    When 200 short requests come and all stay in flight
    Then no endpoint holds more than 51 requests
