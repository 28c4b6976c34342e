Feature: Counting requests without a whole answer

  # Guards against answered requests that are reported as unanswered.
  Scenario Outline: A refusal with <rest> behind it counts as an answer
    When a server refuses a request with <rest> behind it
    Then its answer has the status "<status>"
    And no request counts as unanswered

    Examples:
      | rest              | status |
      | an unread body    | 413    |
      | a head without end | 431   |

  # Guards against a request that is closed on and not counted.
  Scenario: A request behind the last one of a drain counts as unanswered
    When a draining server answers the first of two requests
    Then its answer has the status "200"
    And 1 request counts as unanswered
