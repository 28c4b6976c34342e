Feature: A success without its endpoint's signature is a broken answer

  # Guards against bytes of a faulty endpoint that a caller takes for a success (MIXED).
  Scenario Outline: An order is answered with <status> and <signature>
    When the endpoint of an order answers with <status> and <signature>
    Then the order's outcome is unknown, and nothing of that answer is passed on

    Examples:
      | status | signature          |
      | 200    | no signature       |
      | 200    | an empty signature |
      | 204    | no signature       |
      | 302    | no signature       |

  # Guards against a repeatable request that fails at the first such answer.
  Scenario: A lookup is answered by the next endpoint
    When the endpoint of a lookup answers with 200 and no signature
    Then the caller gets the next endpoint's signed answer

  # Guards against a stream that begins with, or goes on in, an answer of nobody.
  Scenario: A prompt's stream begins without a signature
    When the endpoint of a prompt answers with 200 and no signature
    Then no event of that answer is passed on

  Scenario: A stream goes on in an answer without a signature
    When a stream breaks off and the next endpoint's answer has no signature
    Then the caller gets the events before it, and the stream is cut

  # Guards against an endpoint's own error replaced by another status.
  Scenario: An order is answered with an error that has no signature
    When the endpoint of an order answers with 404 and no signature
    Then the caller gets that error
