Feature: A router weighs the reports of many others

  Entries of other routers are applied directly; time is simulated.

  # Guards against a router that is busy for many seconds after a wide outage.
  Scenario: Many routers report many losses
    When 20 routers report 32 losses each
    Then quarantines are looked for at most 20 times
