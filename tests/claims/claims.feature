Feature: A request runs at most once, and its caller learns the outcome

  Scenario: a key runs at most once under any order of events and faults
    When the state machine of the fleet runs 2000 times
    Then it finds no failure

  Scenario Outline: a fault in the logic is detected
    Given the logic has the fault "<fault>"
    When the state machine of the fleet runs 6000 times
    Then it finds a failure

    Examples:
      | fault                |
      | claim after send     |
      | retry on unknown     |
      | void without compare |
      | late frame accepted  |
      | voids forgotten      |
      | any window           |

  Scenario: a late first attempt stays voided after a second attempt is voided
    Given attempts 1 and 2 of one key
    When attempt 1 is voided
    And attempt 2 is voided
    And attempt 1 is claimed
    Then the verdict is "voided"

  Scenario: an attempt delayed past the window of its record can't be claimed
    Given attempts 1 and 2 of one key
    When attempt 1 is voided
    And the window advances 2 times
    And attempt 1 is claimed
    Then the verdict is "window-passed"

  Scenario: a claim whose reply was lost is recognized by its token
    Given attempts 1 and 2 of one key
    When the next reply is lost
    And attempt 1 is claimed
    Then the verdict is "created"

  Scenario: another delivery of the same attempt doesn't get the claim
    Given attempts 1 and 2 of one key
    When attempt 1 is claimed
    And attempt 1 is claimed by another delivery
    Then the verdict is "claimed"

  Scenario: the same key with another body is detected, also by a void
    Given attempts 1 and 2 of one key
    When attempt 1 is claimed
    And attempt 2 is claimed with another body
    Then the verdict is "key-reused"
    When attempt 2 is voided with another body
    Then the verdict is "key-reused"

  Scenario: a claim is kept until the window after its own ends
    Given attempts 1 and 2 of one key
    When attempt 1 is claimed
    And the window advances 1 times
    And attempt 2 is claimed in the current window
    Then the verdict is "taken"
    And a key of window 1 is expired in window 3 but not in window 2

  Scenario: any record is the same after it is encoded and decoded
    Then every encoded record decodes to the same record

  Scenario: pieces of an answer in any order give only its correct bytes
    Then an answer is complete only when all its bytes have arrived

  Scenario: held answers stay within their size and time limits
    Then held answers never exceed 100 bytes or 50 ms

  Scenario: a request in flight at two crashes is quarantined and the others are not
    Given suspects that expire after 1000 ms
    When "poison" and "innocent" are in flight at crash "c1"
    And the report of crash "c1" with "poison" and "innocent" is received again
    And "poison" and "neighbour" are in flight at crash "c2"
    Then only "poison" is quarantined
    And nothing is quarantined 1000 ms later
