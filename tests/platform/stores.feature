Feature: Clients of the key-value service and of the instance list

  Scenario: a key is written by compare-and-swap
    Given a key-value service
    When "a" is swapped to "one" at revision 0
    Then the swap took effect
    And reading "a" returns "one"
    When "a" is swapped to "two" at revision 0
    Then the swap conflicts with "one"

  Scenario: a write whose reply is lost returns unknown and takes effect
    Given a key-value service
    And the next reply to a write is lost
    When "a" is swapped to "one" at revision 0
    Then the result is unknown
    And reading "a" returns "one"

  Scenario: a write to a service that refuses connections returns unavailable
    Given a key-value service
    And the service has an outage of type "refuse"
    When "a" is swapped to "one" at revision 0
    Then the result is unavailable
    When the outage ends
    Then reading "a" returns nothing

  Scenario: a write to a service that does not answer returns unknown
    Given a key-value service
    And the service has an outage of type "hang"
    When "a" is swapped to "one" at revision 0
    Then the result is unknown

  Scenario: two keys are compared in one transaction
    Given a key-value service
    When "window" is swapped to "7" at revision 0
    Then a transaction takes effect only while "window" is "7"

  Scenario: deleting a prefix removes its keys and no others
    Given a key-value service
    When the prefix "c/1/" is deleted among "c/1/a", "c/1/b", "c/10/a"
    Then only "c/10/a" is left

  Scenario: a watch reports all changes since its start revision
    Given a key-value service
    When "a" is swapped to "one" at revision 0
    Then a watch from that revision reports "one", then "two" when it is written

  Scenario: a key is removed when its lease expires
    Given a key-value service
    When "a" is written under a lease of 1 s
    Then "a" is removed after the lease expires

  Scenario: the claim window advances with its lease, and old records are deleted
    Given a key-value service
    When two processes follow the claim window, advancing it every 1 s
    Then the window reaches 4 one step at a time
    And of the records of windows 1 to 4 only those of 3 and 4 are left

  Scenario: each call is counted
    Given a key-value service
    When "a" is swapped to "one" at revision 0
    Then the calls counted are "txn"

  Scenario: an unchanged instance list is not sent again
    Given an instance list of two data centres
    Then the list of "enna" has 1 instance
    And reading it again with its ETag returns unchanged

  Scenario: the instance list can differ between readers
    Given an instance list of two data centres
    When the list hides "127.0.0.1:9001" from this reader
    Then the list of "" has 1 instance

  Scenario Outline: an invalid instance list is rejected
    Given an instance list that answers with <document>
    Then the list is unavailable

    Examples:
      | document                                                    |
      | {"targets": []}                                             |
      | [{"targets": "10.0.0.1:80"}]                                |
      | [{"targets": ["10.0.0.1"]}]                                 |
      | [{"targets": ["10.0.0.1:99999"]}]                           |
      | [{"targets": ["10.0.0.1:80"], "labels": {"state": "odd"}}]  |
      | [{"targets": ["10.0.0.1:80"], "labels": {"service": 7}}]    |
