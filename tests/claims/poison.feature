Feature: One request that crashes engines can't take down all of them

  Scenario: a request that crashes engines is quarantined, and other requests are not
    Given a fleet of 4 engines that one prompt crashes
    When other requests wait while a caller sends a poisonous request 4 times
    Then at most 2 engines crashed
    And the poisonous request is refused as not-run, quarantined
    And every other request that had not started got its whole answer
    And the agents list one digest in quarantine
