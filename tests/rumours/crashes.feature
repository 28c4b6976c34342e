Feature: Every request in flight at a crash becomes a suspect

  Scenario: a dying engine still accepts connections for a while
    Given an engine that accepts a connection and closes it 60 ms later
    When its agent probes the engine
    Then the engine counts as crashed

  Scenario: an engine that accepts connections and keeps them open is alive
    Given an engine that keeps accepted connections open
    When its agent probes the engine
    Then the engine counts as alive

  Scenario: attempts of one crash fail one after the other
    Given an agent with two attempts on its engine
    When the first attempt fails alone and the second 100 ms later
    Then both are suspects of one crash
    And both were announced to the other agents
    And both are in the store under that crash
    And the second failure waited for its own report
