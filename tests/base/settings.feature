Feature: Settings are validated at startup

  Scenario: an invalid value is reported with its flag, the value and the allowed values
    When the settings port=abc are validated
    Then the error message names --port, 'abc' and "a port number"

  Scenario: an unknown setting is rejected
    When the settings port=1 colour=red are validated
    Then an error message is given for colour
