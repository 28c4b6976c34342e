Feature: A stopping router takes only what it can answer, and answers all that it took

  # Guards against a request that is taken late in the grace period and cut at its end.
  Scenario Outline: <kind> with <timeout> ms left comes <left> ms before the kill
    When <kind> of <timeout> ms comes <left> ms before the end of a grace period of 8 s
    Then it is <outcome>

    Examples: After the balancer has seen the stop
      | kind     | timeout | left  | outcome             |
      | a lookup | 900     | 1000  | refused as not run  |
      | an order | 900     | 1000  | refused as not run  |
      | a lookup | 300     | 1000  | answered            |
      | an order | 300     | 1000  | answered            |
      | a stream | 1900    | 2000  | refused as not run  |

    Examples: Before that
      | kind     | timeout | left  | outcome             |
      | a lookup | 1900    | 7000  | answered            |
      | an order | 1900    | 7000  | answered            |

  # Guards against an order that is taken early in a short grace period and cut at its
  # end, though it may not be sent again.
  Scenario Outline: <kind> that may not finish comes just after the stop
    When <kind> of 1900 ms comes 1500 ms before the end of a grace period of 3 s
    Then it is <outcome>

    Examples:
      | kind     | outcome            |
      | an order | refused as not run |
      | a lookup | answered           |

  # Guards against a caller whose connection is closed without an answer at the end of
  # the grace period.
  Scenario: An endpoint does not answer until the grace period ends
    When a lookup waits for its answer as the grace period ends
    Then its caller gets 504 and the outcome "unknown"

  # Guards against a router that is killed while it still waits for the balancer.
  Scenario: The grace period is shorter than the wait for the last connections
    When a router stops with a grace period of 2 s
    Then its drain ends before the process would be killed
