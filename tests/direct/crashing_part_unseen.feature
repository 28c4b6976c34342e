Feature: A prompt part that crashes endpoints is seen in each kind of answer

  Endpoints crash as they begin to answer a prompt with a certain part, and start again
  after 0.1 s under new names.

  # success for the caller, and nothing held against the part.
  Scenario: Endpoints crash in answers that end with their connections
    Given endpoints whose answers have neither a length nor chunks
    When 6 prompts with a crashing part come, one every 700 ms
    Then no caller gets a success
    And at most 3 endpoints crashed

  # Guards against a part cleared by an answer that no endpoint had to run it for.
  Scenario: Endpoints turn down other prompts with the part
    Given endpoints that answer 400 to a prompt with a crashing part and no model
    When 6 prompts with a crashing part come, one every 700 ms
    Then at most 3 endpoints crashed

  # Guards against an answer that is late, from an endpoint out of reach, held against it.
  Scenario: Endpoints go silent after the head, and cannot be reached
    Given endpoints that stay silent after the head and accept no connection
    When 6 prompts with a crashing part come, one every 700 ms
    Then none is refused as quarantined
