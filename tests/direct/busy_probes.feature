Feature: A probe of an endpoint by a router whose event loop is busy

  # Guards against a crash that goes unreported because the router was busy.
  Scenario: An endpoint that closes the probe while the router is busy, and is gone, is down
    When a router is busy while a dying endpoint closes its probe
    Then the endpoint counts as down
