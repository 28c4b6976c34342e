Feature: Endpoints that serve badly get less work

  No scenario here opens a connection. The outcome of each request is drawn from a seeded
  random generator, and the router sends each request to any endpoint that is not
  ejected.

  Scenario: One endpoint fails part of its requests although it is listed as healthy
    Given 9 endpoints that fail 0.02 of their requests
    When one of them fails 0.4 for 20 s at 10 requests a second
    Then it gets at most half of its share from the 8th second on

  Scenario: The endpoint recovers
    Given 9 endpoints that fail 0.02 of their requests
    When one of them fails 0.4 for 20 s at 10 requests a second
    And it serves normally for 30 s
    Then it gets at least 0.7 of its share in the last 15 s

  Scenario: Every endpoint fails a few requests
    Given 9 endpoints that fail 0.05 of their requests
    When they serve for 60 s at 10 requests a second
    Then none of them gets less than 0.6 of its share

  Scenario: All endpoints fail most requests at the same time
    Given 9 endpoints that fail 0.7 of their requests
    When they serve for 20 s at 10 requests a second
    Then none of them gets less than 0.6 of its share

  Scenario: Two endpoints fail every request
    Given 9 endpoints that fail 0.0 of their requests
    When 2 of them fail every request for 20 s
    Then each of them gets at most half of its share from the 8th second on
    And the service's outcomes are the sum of its endpoints'

  Scenario: More than a third of the endpoints fail every request
    Given 8 endpoints that fail 0.0 of their requests
    When 3 of them fail every request for 20 s
    Then at most 2 of them are ejected at a time

  Scenario: In a small service, one endpoint fails part of its requests
    Given 5 endpoints that fail 0.0 of their requests
    When one of them fails 0.4 for 20 s at 10 requests a second
    Then none of them gets less than 0.6 of its share

  Scenario: An endpoint has a single bad outcome
    Given 3 endpoints that fail 0.0 of their requests
    When one of them has 1 bad outcome and 3 good ones
    Then it is not ejected

  Scenario: A route without a latency target
    Given a lookup on a route without a latency target
    When its endpoint has sent nothing for 5000 ms
    Then the attempt is not abandoned and does not count as late
