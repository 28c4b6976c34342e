Feature: Changes of the store that take long to arrive

  The load: a configuration of half a megabyte over a link of 5 Mbit/s, which takes a
  second, where changes must be in force within three.

  # Guards against a router that reads everything anew while the answer is on its way.
  Scenario: A watch's answer takes a second
    When the store's watch answers, and its answer takes 1000 ms to arrive
    Then everything was read once, and the change is in force
    And the store's word was young enough to be told to others as it arrived

  # Guards against answers that hold each of many versions, one slower than the other.
  Scenario: Configurations follow each other faster than they arrive
    When configurations change all the time, and each answer takes 1000 ms to arrive
    Then after the second one everything was read anew

  # Guards against a word that an endpoint leaves, which waits for the next turn after
  # a read that failed (DRAIN).
  Scenario: Reads of the endpoints alone fail at first
    Given a router that waits for a read of everything
    And a store that fails the first 2 reads of the endpoints alone
    When an endpoint is said to leave
    Then the router knows it within the time that changes may take

  # Guards against endpoints that are not read alone for long after the store is back.
  Scenario: The store fails, and answers again shortly after endpoints were due
    Given a router whose store fails for 0.75 of the time that changes may take
    When an endpoint is said to leave
    Then the router knows it within the time that changes may take
