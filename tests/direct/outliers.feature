Feature: An endpoint that serves far worse than the others is ejected for a while

  Scenario: One of nine endpoints fails everything, though it is listed as ready
    When 120 lookups are sent in turn while the first of 9 endpoints fails
    Then it ran at most 4 of them
    And every caller got a good answer

  Scenario: Every endpoint fails
    When 300 lookups are sent in turn while all of 9 endpoints fail
    Then each of them ran at least 10
