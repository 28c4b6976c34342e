Feature: A request is lost in several crashes at once, and comes again

  No scenario here opens a connection. Each router holds its own evidence; a report or a
  clearance reaches the other routers after 500 ms. Time is simulated.

  # Guards against routers that all send it again as the endpoints have started (BUDGET).
  Scenario Outline: One request that crashes endpoints comes at all routers at once
    Given <routers> routers with evidence of their own
    When one request comes in bursts of <n>, <gap> ms apart, one every <every> ms
    Then at most 3 of its arrivals come later than 3000 ms after the third crash
    And at most <most> of its arrivals crash endpoints

    Examples:
      | routers | n  | gap | every | most |
      | 8       | 4  | 10  | 3300  | 8    |
      | 8       | 8  | 10  | 3300  | 12   |
      | 8       | 8  | 0   | 1000  | 12   |
      | 8       | 24 | 40  | 4000  | 24   |
      | 60      | 60 | 5   | 3300  | 62   |

  # Guards against the same for a prompt's part: each prompt differs (BUDGET).
  Scenario Outline: Prompts with one deadly part come at all routers at once
    Given <n> routers that learn of reports after 500 ms
    When <n> prompts with one deadly part come at once, every 3300 ms for 60 s
    Then at most 3 of them are sent later than 3000 ms after the third crash

    Examples:
      | n  |
      | 8  |
      | 40 |

  # Guards against a popular request that stays held back though it is sound.
  Scenario Outline: All endpoints go down under a popular request, and start again
    Given <n> routers with evidence of their own
    When one sound request is lost by all routers, and comes every <every> ms from 3 s on
    Then it is answered within <within> ms, and everywhere after 600 ms more

    Examples:
      | n  | every | within |
      | 1  | 50    | 1100   |
      | 8  | 50    | 4000   |
      | 8  | 200   | 8000   |
      | 60 | 10    | 8000   |
