Feature: What counts against an endpoint on a router that is busy

  # Guards against sound endpoints that are ejected because this router was busy.
  Scenario: An endpoint that answered while the loop was busy does not count as late
    When an endpoint answers three lookups while the loop is busy
    Then it has no bad outcome
