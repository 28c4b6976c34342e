Feature: The model engine stand-in

  Scenario: The same prompt gets the same answer with and without streaming
    When the prompt "my hoe is loose" is completed as one document and as a stream
    Then both answers contain the same text
    And the stream ends with its token usage and "[DONE]"

  Scenario: The prefix of a returning chat is cached
    When a chat of 400 tokens returns with 20 more
    Then at least 350 tokens of the second turn's prompt are cached

  Scenario: A full cache evicts the least recently used chat
    When 20 chats of 400 tokens are completed with a cache of 2000 tokens
    Then no token of the first chat's next turn is cached

  Scenario: A request with a lower priority number runs first
    When requests of priority 2, 2 and 0 arrive at an engine whose one slot is busy
    Then the request of priority 0 is answered first

  Scenario: A closed connection frees its slot
    When a caller closes the connection during a long stream
    Then the engine runs no job and counts 1 cancelled

  Scenario: An answer is continued from partial text
    When an answer is cut after 10 characters and continued from there
    Then the two parts add up to the whole answer

  Scenario: Cached blocks are transferred to another engine
    When a chat's cached blocks are exported from one engine and imported into another
    Then the prefix of the chat's next turn is cached in the second engine

  Scenario Outline: An engine that <manner> fencing numbers answers an old one with <status>
    When orders with fencing numbers 5 and 4 are sent to an engine that <manner> them
    Then the second answer has status <status>

    Examples:
      | manner  | status |
      | checks  | 409    |
      | ignores | 200    |
