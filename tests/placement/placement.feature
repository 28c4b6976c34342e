Feature: A router chooses the first endpoint for a request

  Background:
    Given the endpoints a and b in catania and c in enna
    And a router in catania

  Scenario: local endpoints come first
    Then it chooses among a,b

  Scenario: endpoints of other data centres are used when no local one is left
    When connections to a,b fail
    Then it chooses among c

  Scenario: when every endpoint is in backoff, local endpoints are still tried
    When connections to a,b,c fail
    Then it chooses among a,b

  Scenario: a draining endpoint is never chosen
    When a,b,c report that they drain
    Then it chooses nothing

  Scenario: an endpoint that has been tried is not chosen again
    When a,b have been tried
    Then it chooses among c

  Scenario: an endpoint that a rule drains is not chosen
    When a rule drains a
    Then it chooses among b
