Feature: Requests from callers to engines and back through a whole fleet

  Scenario: 200 concurrent streams on one router
    Given a fleet of 4 engines
    When 200 callers stream answers at once
    Then every caller got the complete answer to its own question

  Scenario: The router passes on a streamed answer byte for byte
    Given a fleet of 1 engines
    When the same streaming request goes to the engine and to the router
    Then both answers have the same status, type and bytes

  Scenario: A caller that disconnects cancels its request in the engine
    Given a fleet of 1 engines
    When a caller disconnects in the middle of a stream
    Then the engine runs no request and has cancelled 1

  Scenario: A truncated answer never looks complete
    Given a fleet of 1 engines
    When the engine is killed in the middle of a stream
    Then the caller gets an error event and an unfinished body

  Scenario: Invalid data on the peer ports does not disturb the fleet
    Given a fleet of 1 engines
    When invalid data is sent to the peer ports of the router and the agent
    Then those connections are closed and a request still gets a complete answer
