Feature: The plain service stand-in and the relay

  Scenario: Executions are counted per key when handling starts
    When the key "a" is posted twice and the key "b" once, without waiting for the answers
    Then the service has counted 2 for "a" and 1 for "b"

  Scenario: A relay silences its open connections but not new ones
    When a relay's open connections are silenced
    Then the open connection receives nothing more and a new one is answered
