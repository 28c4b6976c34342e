Feature: Frames from another fleet at a reused address are rejected

  Scenario: A connection from another fleet is closed
    Given a process of fleet 7 with rules of revision 3
    When a process of fleet 8 sends it a frame of revision 9 on a connection
    Then it ignores the frame, requests no newer rules and closes for "other-fleet"

  Scenario: A connection from the same fleet is accepted
    Given a process of fleet 7 with rules of revision 3
    When a process of fleet 7 sends it a frame of revision 9 on a connection
    Then it accepts the frame and requests newer rules

  Scenario: A datagram from another fleet is dropped
    Given a process of fleet 7 with rules of revision 3
    When a process of fleet 8 sends it a frame of revision 9 in a datagram
    Then it ignores the frame and requests no newer rules

  Scenario: A datagram from the same fleet is accepted
    Given a process of fleet 7 with rules of revision 3
    When a process of fleet 7 sends it a frame of revision 9 in a datagram
    Then it accepts the frame and requests newer rules
