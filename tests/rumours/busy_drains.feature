Feature: An agent that drains while it is busy

  # Guards against a request that a drain cuts though its engine had answered in time.
  Scenario: An attempt whose answer came while the agent was busy past its drain is finished
    When an engine's answer comes while its agent is busy past its drain timeout
    Then the drain cut no attempt
