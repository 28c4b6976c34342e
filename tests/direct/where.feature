Feature: Operators ask where a request would go, without sending it

  Scenario: A prompt has a home
    Given a router with 3 endpoints of each service
    When an operator asks where a prompt would go, 20 times
    Then each answer names the endpoint that a prompt then goes to
    And the endpoints got no request for the asking, and nothing was counted

  Scenario: A data centre is evacuated
    Given a router with 3 endpoints of each service
    When their data centre is evacuated and an operator asks
    Then the answer says that the request is refused, and that endpoints are evacuated

  Scenario: No route fits
    Given a router with 3 endpoints of each service
    When an operator asks for a path without a route
    Then the answer says no-route
