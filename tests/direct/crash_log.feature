Feature: A router weighs the reports of many others

  Entries of other routers are applied directly; time is simulated.

  # Guards against a router that is busy for many seconds after a wide outage.
  Scenario: Many routers report many losses
    When 20 routers report 32 losses each
    Then quarantines are looked for at most 20 times

  # Guards against a quarantine that starts again as the store is read again.
  Scenario: The store is read again after a quarantine has ended
    Given a part that is quarantined by a report
    When 172801 s pass and the same report is read again
    Then that part is not quarantined

  # Guards against a deadly part that is let through after a wide outage.
  Scenario: A wide outage comes while a part is quarantined
    Given a part that is quarantined by a report
    When 20 routers report 32 losses each
    Then that part is quarantined

  # Guards against crashes with many requests in flight that push out a router's own
  # reports, which one that starts later needs.
  Scenario: A router loses many requests that name no part
    Given a router that lost two prompts with one part and a request at depth 2
    When it loses 1000 other requests
    Then it still shares these 3 reports, and at most 48 in all

  # Guards against a popular request that counts as unproven, as an answer to it was
  # recorded long ago.
  Scenario: A request has good answers for long, and then is lost
    Given a request that was cleared of a crash 600 s ago
    When it has a good answer, and is lost in 4 crashes, one after the other
    Then that request is not quarantined
