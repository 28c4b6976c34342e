Feature: An endpoint that sends bytes without end costs a bounded time and memory

  A faulty endpoint sends bytes that never make an answer until the router closes the
  connection. Each request has a timeout of two seconds, and one endpoint to go to.

  # Guards against a router that reads such bytes for as long as they come.
  Scenario Outline: An order whose endpoint sends <bytes> without end
    When an order's endpoint sends <bytes> without end
    Then the caller gets a <status> with the outcome "unknown" in time
    And the router took at most <most> MiB from the endpoint and closed its connection
    And the endpoint that sent without end counts as failing

    Examples:
      | bytes                       | status | most |
      | a status line               | 502    | 8    |
      | a header line               | 502    | 8    |
      | header lines                | 502    | 8    |
      | informational answers       | 502    | 8    |
      | answers to another request  | 502    | 8    |
      | a chunk size                | 502    | 8    |
      | a chunk extension           | 502    | 8    |
      | trailers                    | 502    | 8    |
      | a body without a length     | 502    | 32   |
      | chunks                      | 502    | 32   |
      | the body of a refusal       | 502    | 32   |
      | a body to another request   | 502    | 32   |

  # Guards against a stream that is held and scanned again until its deadline.
  Scenario Outline: A stream whose endpoint sends <bytes> without end
    When a stream's endpoint sends <bytes> without end
    Then the router took at most <most> MiB from the endpoint and closed its connection
    And the endpoint that sent without end counts as failing
    And the caller's stream <result> in time

    Examples:
      | bytes                  | most | result     |
      | one event              | 16   | is refused |
      | an event after another | 16   | is cut     |
      | comment lines          | 16   | is refused |

  # Guards against waits without a deadline: a few bytes now and then never stall.
  Scenario Outline: An order whose endpoint sends <bytes> slowly
    When an order's endpoint drips <bytes>
    Then the caller gets a 504 with the outcome "unknown" in time
    And the router took at most 1 MiB from the endpoint and closed its connection

    Examples:
      | bytes                     |
      | a header line             |
      | a body without a length   |
      | a body to another request |

  # Guards against a bound that a sound endpoint meets.
  Scenario Outline: <count> <bytes> come before the answer
    When <count> <bytes> come before the answer to a request
    Then the caller gets the answer after them

    Examples:
      | count | bytes                      |
      | 3     | informational answers      |
      | 3     | answers to another request |

  # Guards against a cost that grows with the square of an event's size.
  Scenario: A large event in small pieces is passed on
    When an event of 512 KiB comes in pieces of 64 bytes
    Then taking it out takes less than half a second

  # Guards against a router that stands still while it parses what one endpoint sent.
  Scenario Outline: <kind> whose endpoint sends tiny chunks without end
    When <kind> gets tiny chunks without end from its endpoint
    Then the router gave other work a turn every 100 ms
    And the endpoint that sent without end counts as failing

    Examples:
      | kind                       |
      | an order                   |
      | a stream                   |
      | an answer to another order |
