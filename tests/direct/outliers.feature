Feature: An endpoint that serves far worse than the others gets no work for a while

  Scenario: One of nine endpoints fails everything, though it is listed as ready
    When 120 lookups come one after the other while the first of 9 endpoints fails
    Then it ran at most 4 of them
    And every caller got a good answer

  Scenario: Every endpoint fails
    When 300 lookups come one after the other while all of 9 endpoints fail
    Then each of them ran at least 10
