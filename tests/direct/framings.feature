Feature: An endpoint's answer with an ambiguous framing

  # Guards against a request that gets neither an answer nor a refusal.
  Scenario Outline: An answer in chunks with a content length that is <fault> is not cut
    When an endpoint answers in chunks with a content length that is <fault>
    Then the caller gets the whole body or a refusal

    Examples:
      | fault     |
      | too short |
      | too long  |
