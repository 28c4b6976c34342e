Feature: A stream that is still going on at its deadline

  # Guards against a sound endpoint that is blamed for a deadline, and a last attempt
  # with no time left at another one.
  Scenario Outline: A resumable stream by <framing> that goes on past <ms> ms is cut, not resumed
    When a resumable stream by <framing> still goes on after its <ms> ms
    Then the caller's stream is cut at its deadline
    And only the first endpoint was asked, and no retry was spent
    And the endpoint of that stream does not count as failing

    Examples:
      | framing | ms   |
      | nothing | 1200 |
      | chunks  | 600  |

  # Guards against an endpoint that falls silent and is not found out.
  Scenario: An endpoint that has long been silent at the deadline counts as failing
    When a stream that can't be resumed falls silent until its deadline
    Then the caller's stream is cut at its deadline
    And the endpoint of that stream counts as failing

  # Guards against a sound endpoint that is blamed for a caller's short timeout.
  Scenario Outline: <kind> that has begun but is not there at a short deadline
    When <kind> has begun but is not there at a short deadline
    Then its caller gets a 504 for "deadline"
    And its endpoint is late, but not in backoff

    Examples:
      | kind     |
      | an order |
      | a stream |
