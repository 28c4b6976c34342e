Feature: One rules file is in force everywhere, and no process goes back to an older one

  Scenario: no accepted line is lost and no revision decreases under any fault
    Then the state machine of editors, store and processes finds no fault

  Scenario: only higher revisions are installed
    When a process holds revision 5 and receives revision 4 and revision 5 again
    Then it still holds revision 5 and its text

  Scenario: an invalid text leaves the last valid one in force
    When a process holds revision 5 and receives an invalid text as revision 6
    Then it still holds revision 5 and its text
    And revision 6 is requested again only after 10 s and its problem is reported
    And a valid text as revision 6 is installed

  Scenario: reads of the store keep to one rate for a fleet of any size
    Then 5, 20, 60 and 12600 processes together read 2 times per second, within 10 %
    And a process that does not know the fleet's size reads at most once every 5 s
