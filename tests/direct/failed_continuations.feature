Feature: A stream breaks off, and the next endpoint does not continue it

  The route allows two endpoints. The second one answers with something else than the
  rest of the stream.

  # Guards against an error in the middle of a stream, and a stream that looks complete.
  Scenario Outline: A stream is cut if its continuation is <answer>
    When a stream breaks off after 2 of 3 events and its continuation is <answer>
    Then the caller gets the 2 events and nothing else, and its stream is cut
    And both endpoints were asked

    Examples:
      | answer                                     |
      | a refusal with a length                    |
      | a refusal by nothing                       |
      | an error with a length                     |
      | an error in chunks                         |
      | an error by nothing                        |
      | an error's head without an end             |
      | a redirection                              |
      | 204                                        |
      | a success of another type with no body     |
      | a success of another type with a text      |
      | a success of another type with a blank line |
      | an event's start and then an error's head  |

  # Guards against an error's head in the middle of a stream that ends with its connection.
  Scenario Outline: A stream by <framing> into which its endpoint writes an error's head is cut
    When the endpoint of a stream by <framing> writes an error's head after 2 of 3 events
    Then the caller gets the 2 events and nothing else, and its stream is cut

    Examples:
      | framing |
      | nothing |
      | chunks  |

  # Guards against an error in the middle of a stream whose endpoint fell silent.
  Scenario Outline: A silent stream goes on if its continuation is <answer>
    When a stream falls silent after 2 of 3 events and its continuation is <answer>
    Then the caller gets each of the 3 events once and a complete stream

    Examples:
      | answer                                     |
      | a refusal with a length                    |
      | an error with a length                     |
      | a success of another type with a text      |

  # Guards against a sound continuation that is taken for an error.
  Scenario Outline: A stream is continued by <answer>
    When a stream breaks off after 2 of 3 events and its continuation is <answer>
    Then the caller gets each of the 3 events once and a complete stream

    Examples:
      | answer                              |
      | the rest with the type's parameters |
      | the rest in chunks                  |
