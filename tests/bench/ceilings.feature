Feature: Ceiling of context reuse

  Scenario Outline: A context is lost only when its engine is lost or evicts it
    Given engine a has served a chat of 1600 tokens
    When <event>
    Then the returning chat could reuse <tokens> tokens

    Examples:
      | event                             | tokens |
      | nothing happens                   | 1600   |
      | a is lost                         | 0      |
      | a is away                         | 0      |
      | a is away and back                | 1600   |
      | a is lost and back                | 0      |
      | another chat evicts it from a     | 0      |
      | b also serves it and a is lost    | 1600   |
      | b also serves it, both are lost   | 0      |

  Scenario: Reuse is the cached tokens that engines report, relative to the ceiling
    Given engine a has served a chat of 1600 tokens
    When the chat returns and 400 of its 1700 tokens are cached
    Then the reuse is 0.25 of the ceiling and 0.235 of the prompt tokens

  Scenario: An ideal placement reaches the ceiling and never exceeds it
    Then placing every turn on the engine with its context reaches the ceiling exactly
