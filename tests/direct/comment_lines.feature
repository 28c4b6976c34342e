Feature: The end of a stream is looked at in a time that grows with its bytes alone

  # Guards against one cut stream that keeps a router busy for good: the time doubled with
  # each comment line before the cut (review case 6).
  Scenario Outline: A stream ends inside an event after lines of <line>
    When what is left of a stream is 22 lines of <line> and the beginning of an event
    Then it counts as inside an event, at less than 8 times the cost of 16 such lines

    Examples:
      | line                        |
      | a comment with CRLF         |
      | a comment with LF           |
      | a comment of returns        |
      | an empty comment with CRLF  |
      | a blank line with CRLF      |
      | a blank line with LF        |

  # Guards against a whole stream taken for one that was cut, or the other way round.
  Scenario: What is left of streams is told by its lines
    When any bytes of comments, line ends and others are what is left of a stream
    Then they count as inside an event unless each line is blank or a comment, and ended
