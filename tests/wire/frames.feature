Feature: Frames are decoded from a byte stream

  Scenario: Arbitrary bytes yield frames or a protocol error
    Then arbitrary bytes make the reader yield frames or raise ProtocolError

  Scenario: Corrupted frames yield frames or a protocol error
    Then frames with altered bytes make the reader yield frames or raise ProtocolError

  Scenario: Frames arrive complete wherever the stream is split
    Then frames split at any position arrive complete and in order

  Scenario Outline: The connection of a peer that sends <junk> is closed
    When a peer sends <junk>
    Then its connection is closed for the reason "<reason>"
    And another peer's frame still arrives

    Examples:
      | junk                           | reason          |
      | text                           | bad-frame       |
      | a length over the limit        | bad-frame       |
      | a frame of zeros and ones      | bad-frame       |
      | a string longer than its frame | bad-frame       |
      | a list longer than its frame   | bad-frame       |
      | a truncated frame and the end  | connection-lost |
