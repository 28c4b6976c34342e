Feature: A stream that ends inside an event is not passed on as a complete one

  An answer may come with neither a length nor chunks and end with its connection, so
  an endpoint that crashes can leave a stream that looks complete.

  # Guards against the bytes of an incomplete event at the end of an answer.
  Scenario Outline: A stream by <framing> that ends inside an event with a <end> is resumed
    When a resumable stream framed by <framing> ends inside an event with a <end>
    Then the caller gets each event once and a complete stream
    And the second endpoint was asked for what follows the last whole event
    And the endpoint whose stream ended early counts as failing
    And its connection is not kept

    Examples:
      | framing  | end        |
      | nothing  | close      |
      | nothing  | reset      |
      | a length | close      |
      | a length | pause      |
      | chunks   | close      |
      | chunks   | pause      |

  # Guards against a cut stream that its caller takes for a complete one.
  Scenario Outline: A stream by <framing> that ends inside an event, and is not resumable
    When a stream of one run framed by <framing> ends inside an event
    Then the caller gets the whole events, and its answer is cut
    And the endpoint whose stream ended early counts as failing

    Examples:
      | framing  |
      | nothing  |
      | a length |
      | chunks   |

  # Guards against a broken answer that looks complete.
  Scenario: A stream whose last event stops short after a pause, and is not resumable
    When a stream of one run without a length pauses, then ends inside an event
    Then the caller gets the whole events, and its answer is cut
    And the endpoint whose stream ended early counts as failing

  # Guards against the answer of an endpoint that crashes as it begins to write.
  Scenario Outline: <kind> without a length that closes before its first event
    When <kind> without a length closes after <body>
    Then the caller's status is <status> and the stream has <events> events

    Examples:
      | kind                 | body                    | status | events |
      | a resumable stream   | no byte of its body     | 200    | 3      |
      | a resumable stream   | a part of its event     | 200    | 3      |
      | a stream of one run  | no byte of its body     | 502    | 0      |
      | a stream of one run  | a part of its event     | 502    | 0      |

  # Guards against a sound stream that is taken for a broken one.
  Scenario Outline: A whole stream framed by <framing> that ends with <rest> is complete
    When a whole stream framed by <framing> ends with <rest>
    Then the caller gets all of its bytes and a complete stream
    And one endpoint was asked, and it does not count as failing

    Examples:
      | framing  | rest            |
      | nothing  | its last event  |
      | a length | its last event  |
      | chunks   | its last event  |
      | nothing  | another newline |
      | nothing  | a comment       |

  # Guards against a resumed stream with nothing left that is taken for a broken one.
  Scenario: A stream whose framed continuation has no events is complete
    When a resumable stream is reset after its last event and has no more events
    Then the caller gets each event once and a complete stream

  # Guards against an endless line of endpoints that each add nothing.
  Scenario: A stream that ends inside an event at each endpoint stops at its limit
    When a resumable stream ends inside an event at each endpoint
    Then the caller gets the whole events, and its answer is cut
    And as many endpoints were asked as the route allows
