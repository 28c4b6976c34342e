Feature: The store is restored from an older copy

  What was written since the copy is gone, leases too; revisions and leases are given out
  again. The endpoints and the operator write again what they had written, soon after.

  # Guards against a removal in the new history that counts as an older word (CONFIG).
  Scenario Outline: An endpoint is removed after the store was restored
    Given a store whose era goes from <era> to <next>
    When it is restored, and an endpoint that joined since the copy is listed and removed
    Then that endpoint is no longer used

    Examples:
      | era | next |
      | 1   | 2    |
      | 9   | 10   |
      | 7   | 3    |

  # Guards against an entry that is believed for ever, as the counter had passed the
  # watch's position before the router asked again (CONFIG).
  Scenario: The counter has passed the position of a watch
    Given a store whose era goes from 1 to 2
    When it is restored without an endpoint that is gone, and writes pass its revision
    Then that endpoint is no longer used

  # Guards against an endpoint that left, and that the copy lists as ready (DRAIN).
  Scenario: The copy lists an endpoint that was removed since
    Given a store whose era goes from 1 to 2
    When it is restored to a copy that lists an endpoint that has left
    Then that endpoint is not used until its entry must have lapsed
    And it is used then, if it is still listed

  Scenario: An endpoint that was removed starts again after the store was restored
    Given a store whose era goes from 1 to 2
    When it is restored to a copy that lists an endpoint that has left and starts again
    Then that endpoint is used at once

  # Guards against live endpoints that get nothing until they have written their entries.
  Scenario: The copy lacks an endpoint that is alive
    Given a store whose era goes from 1 to 2
    When it is restored without an endpoint that writes its entry again after 1 s
    Then that endpoint is used all the while

  # Guards against a router that the others no longer count, as its lease's number was
  # given to somebody else.
  Scenario Outline: A router's own entries are lost
    Given a store whose era goes from 1 to 2
    When it is restored to a copy from before the router's <entry>, and others take leases
    Then the <entry> is there again within 1500 ms

    Examples:
      | entry         |
      | address       |
      | crash reports |

  # Guards against tokens that are accepted as the copy's configuration is confirmed.
  Scenario: The copy holds an older configuration
    Given a store whose era goes from 1 to 2
    When it is restored to a copy with an older configuration
    Then the newer one stays in force, and tokens are not accepted for long
    And they are accepted as soon as the newer one is written again

  Scenario Outline: The store tells no era, or none that can be read
    Given a store whose era goes from <era> to <next>
    When it is restored and nothing has changed
    Then a request is answered

    Examples:
      | era    | next   |
      | 1      | none   |
      | 1      | soon   |
      | soon   | -1     |
      | none   | 4      |

  Scenario: The store is restored between two pages of a read
    When a read of two pages gets answers of two eras
    Then the read fails and nothing of it counts
