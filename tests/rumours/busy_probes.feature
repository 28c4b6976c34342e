Feature: A probe of an engine by an agent whose event loop is busy

  # Guards against a live engine that counts as crashed, and its requests as suspects.
  Scenario: An engine is alive although its agent was busy while it connected
    When an agent probes a live engine and is busy for longer than the probe may take
    Then the engine counts as alive

  # Guards against a crash that is missed because the agent was busy.
  Scenario: An engine that closes the probe's connection while its agent is busy has crashed
    When an agent is busy while the engine closes the probe's connection
    Then the engine counts as crashed
