Feature: Seeded workloads

  Scenario: The same seed gives the same turns, sorted by time and within the duration
    Given flows of chats, quick calls and reviews for 4000 ms
    Then two runs of one seed are equal and two seeds differ
    And turns are sorted by time and none is after 4000 ms

  Scenario: A returning chat sends all of its earlier messages
    Given a chat of three turns
    Then each request starts with the messages of the previous one and its answer

  Scenario: A chat never returns within its pause
    Given flows of chats, quick calls and reviews for 4000 ms
    Then no chat has two turns within its pause

  Scenario: A few teams have most of the turns
    Then three of ten teams have over two thirds of the shares, which sum to 1
