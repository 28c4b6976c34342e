Feature: Orders sent through real processes run at most once

  Scenario: a resend through the other router gets the held answer
    Given a running fleet with claim windows of 3600 s
    When an order is sent
    And it is sent again through the other router
    Then both answers are the same and complete
    And the order ran 1 time

  Scenario: a resend joins the attempt in flight
    Given a running fleet with claim windows of 3600 s
    When an order is sent through both routers at once
    Then both answers are the same and complete
    And the order ran 1 time

  Scenario: the same key with another body is refused
    Given a running fleet with claim windows of 3600 s
    When an order is sent
    And its key is sent with another body
    Then the answer is 422 not-run key-reused
    And the order ran 1 time

  Scenario: a request with an expired key is refused and does not run
    Given a running fleet with claim windows of 3600 s
    When an order is sent
    And two windows pass
    And it is sent again with the window of its first answer
    Then the answer is 409 unknown key-expired
    And the order ran 1 time

  Scenario: the store is unavailable past the deadline
    Given a running fleet with claim windows of 3600 s
    And orders have a deadline of 2 s
    When the store becomes unavailable
    And an order is sent
    Then the answer is 503 not-run store-down
    And the order ran 0 times
    And a lookup is answered

  Scenario: the store recovers within the deadline
    Given a running fleet with claim windows of 3600 s
    When the store becomes unavailable for 2 s
    And an order is sent
    Then both answers are the same and complete
    And the order ran 1 time

  Scenario: the outcome of an order whose agent is killed while it runs stays unknown
    Given a running fleet with claim windows of 3600 s
    And orders have a deadline of 2 s
    When an order is sent and its agent is killed while it runs
    Then the answer is 502 unknown connection-lost
    And the order ran 1 time
    When it is sent again through the other router
    Then the answer is 409 unknown key-in-flight
    And the order ran 1 time

  Scenario: an order without a key is not retried
    Given a running fleet with claim windows of 3600 s
    And orders have a deadline of 2 s
    When an order without a key is sent while its agent is stopped
    Then the answer is 503 not-run connection-lost
    And no order ran, even after the agent has resumed

  Scenario: an endpoint that checks fencing numbers gets increasing numbers
    Given a running fleet whose one endpoint checks fencing numbers
    When an order is sent
    Then both answers are the same and complete
    When the agent is replaced and an order is sent under a new key
    Then the order is complete and the endpoint refuses the old agent's number

  Scenario: a router with an outdated window refuses no new key
    Given a running fleet with claim windows of 3600 s
    When two windows pass and 4 orders with different keys are sent without waiting
    Then each order is answered 201 and ran 1 time
