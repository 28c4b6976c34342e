Feature: An endpoint stops in the middle of its answer's head

  # Guards against a 200 with an empty or short body that is framed as whole.
  Scenario Outline: An order whose endpoint sends <part> and then a <end> has an unknown outcome
    When the endpoint of an order sends <part> and then a <end>
    Then the caller gets a 502 that says so, and nothing of the endpoint's

    Examples:
      | part                                  | end   |
      | a part of the status line             | close |
      | the status line                       | close |
      | the status line and half its end      | close |
      | a part of a header                    | close |
      | all headers                           | close |
      | all headers and half the last line's end | close |
      | all headers and half the last line's end | reset |
      | a length whose last digits are missing | close |
      | an informational answer and a part of a header | close |
      | another's answer and a part of a header | close |

  # Guards against a repeatable request that is lost with such a head.
  Scenario: A lookup whose endpoint stops in the middle of its head is answered by another
    When the endpoint of a lookup sends all headers and then a close
    Then the caller gets the second endpoint's answer

  # Guards against a stream that looks complete as its continuation stops in its head.
  Scenario Outline: A stream whose continuation is <part> and then a close is cut
    When a stream breaks off and the next endpoint sends <part> and then a close
    Then the caller gets the stream's first events, and it is cut

    Examples:
      | part                                  |
      | the status line                       |
      | all headers                           |
