Feature: Servers and clients reject invalid input

  Scenario Outline: A server answers <input> with <status>
    When a server gets <input>
    Then it answers <status> with the reason "<reason>"
    And no connection and no task remains

    Examples:
      | input                             | status | reason         |
      | an invalid request line           | 400    | bad-request    |
      | the start of a TLS handshake      | 400    | bad-request    |
      | a header line without a colon     | 400    | bad-request    |
      | two different content lengths     | 400    | bad-request    |
      | a negative content length         | 400    | bad-request    |
      | a request without a host header   | 400    | bad-request    |
      | a chunk size that is not a number | 400    | bad-request    |
      | a chunk longer than its size      | 400    | bad-request    |
      | a head over the limit             | 431    | head-too-large |
      | an endless head                   | 431    | head-too-large |
      | a content length over the limit   | 413    | body-too-large |
      | a chunked body over the limit     | 413    | body-too-large |
      | a head that stalls                | 408    | head-too-slow  |
      | a body that stalls                | 408    | body-too-slow  |

  Scenario Outline: A server closes the connection after <input>
    When a server gets <input>
    Then it closes without a complete response
    And no connection and no task remains

    Examples:
      | input             |
      | an empty stream   |
      | a truncated head  |
      | a truncated body  |
      | a truncated chunk |

  Scenario Outline: A client that receives <input> fails at the step <step>
    When a client receives <input>
    Then it fails at the step "<step>" and names the peer

    Examples:
      | input                                  | step |
      | an empty response                      | head |
      | an invalid status line                 | head |
      | an endless response head               | head |
      | a body shorter than its content length | body |
      | a response without its last chunk      | body |
      | an invalid chunk in the response       | body |

  Scenario: A client times out on a stalled body but not on a slow one
    When one response body stalls and another arrives in slow pieces
    Then the first read times out at the step "body" and the second completes
