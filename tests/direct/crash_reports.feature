Feature: A router keeps its crash reports in the store while they hold

  The store's calls are replaced; no connection is opened. Reports are written again
  every 20 ms.

  # Guards against a router that starts after an outage of the store in which leases
  # ended, and sends what the others refuse.
  Scenario: Leases end while the store is down
    Given a router that has written a report of a request lost in a crash
    When the report is removed and its lease has ended
    Then the report is written again under another lease within 5 s

  # Guards against a router that starts after the one that made the reports has ended,
  # and sends what the others refuse.
  Scenario: The router that made the reports has ended
    Given a router that has read reports that quarantine a part
    When its publishing goes on for a while
    Then a router that starts on its entry refuses the part with the same hold

  # Guards against a part that a router which starts refuses, though it was cleared.
  Scenario: The part is cleared
    Given a router that has read reports that quarantine a part
    When its publishing goes on for a while, and then the part is cleared
    Then a router that starts on its entry refuses nothing

  # Guards against new crashes that stay unknown to other routers, as what is kept for
  # others takes all places.
  Scenario: A router keeps the reports of many quarantined requests
    Given a router that has read reports that quarantine 40 requests
    When it loses a request in a crash, and its publishing goes on for a while
    Then that loss is in its entry, and at most 48 reports in all

  # Guards against a whole request that crashed two endpoints as it was answered, and
  # crashes two more at a router that starts, as its prompt's parts were cleared.
  Scenario: The request is to blame, and its parts are cleared
    Given a router that has read two reports of one prompt, whose part is cleared
    When its publishing goes on for a while
    Then a router that starts on its entry refuses that request

  # Guards against a sound request that a router which starts refuses, though it was
  # cleared, as its reports are kept for the part's sake.
  Scenario: The part is to blame, and a request that was lost with it is cleared
    Given a router that has read reports of a part, one request of which is cleared
    When its publishing goes on for a while
    Then a router that starts on its entry refuses the part with the same hold
