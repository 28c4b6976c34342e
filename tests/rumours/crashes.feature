Feature: Every request in flight at a crash becomes a suspect

  Scenario: an engine that dies slowly still accepts connections for a while
    Given an engine that accepts a connection and closes it 60 ms later
    When its agent probes the engine
    Then the engine counts as crashed

  Scenario: an engine that takes connections and keeps them is alive
    Given an engine that keeps the connections it accepts
    When its agent probes the engine
    Then the engine counts as alive

  Scenario: attempts of one crash fail one after the other
    Given an agent with two attempts on its engine
    When the first attempt fails alone and the second 100 ms later
    Then both are suspects of one crash
    And the others were told of both
    And both stand in the store under that crash
    And the second failure waited for its own report
