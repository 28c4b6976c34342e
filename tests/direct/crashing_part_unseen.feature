Feature: A prompt part that crashes endpoints is seen in each kind of answer

  Endpoints crash as they begin to answer a prompt with a certain part, and start again
  after 0.1 s under new names.

  # Guards against a crash taken for the end of an answer that has no length: an empty
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

  # Guards against a caller who clears a crashing part with requests that never read it.
  Scenario: A caller names the part in requests that are no prompts
    Given callers that name the part in lookups at the same service
    When 6 prompts with a crashing part come, one every 700 ms
    Then at most 3 endpoints crashed

  # Guards against an answer that is late, from an endpoint out of reach, held against it.
  Scenario: Endpoints go silent after the head, and cannot be reached
    Given endpoints that stay silent after the head and accept no connection
    When 6 prompts with a crashing part come, one every 700 ms
    Then none is refused as quarantined

  # Guards against a sound part that is never cleared, as its answers arrive whole.
  Scenario: Endpoints crash beside short answers to prompts with the same parts
    Given endpoints that answer in one piece, but for one prompt in two that crashes them
    When 6 prompts with a crashing part come, one every 700 ms
    Then every other prompt has its whole answer

  # Guards against a full endpoint, which resets new connections, taken for a crashed one.
  Scenario: Endpoints that are up and full break off answers
    Given endpoints that break off answers, and reset connections beyond their limit
    When 6 prompts with a crashing part come, one every 700 ms
    Then none is refused as quarantined
