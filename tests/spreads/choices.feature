Feature: Choices among endpoints from what is kept of them

  # The load: 12,000 endpoints, of which a router works with a few.
  Scenario: Choices are those that looking at every endpoint anew gives
    Given fleets whose endpoints join, leave, lapse, pause, fail and name limits
    When choices are made between these changes, from seeds 1 to 40
    Then each is the one that all endpoints, ranked anew, give

  Scenario: What is kept for parts of prompts is bounded
    When a router chooses for 500 parts among 100 endpoints
    Then it keeps the rankings of at most 64 parts

  Scenario: A choice looks only at endpoints that this router knows something of
    When a router that has sent to 20 of 1100 endpoints chooses for a part in use
    Then it looks at no more than 25 of them
