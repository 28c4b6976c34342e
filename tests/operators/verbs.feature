Feature: The operators' commands on a running fleet

  Scenario: an edit is accepted, in force everywhere, and shown in the history
    Given a fleet of 3 agents and 1 router
    When maria shows the rules and adds "team legnaia weight=2  # maria: new depot"
    Then rules apply exits 0 and says "in force at 4 of 4"
    And every process holds "team legnaia weight=2  # maria: new depot"
    And rules history says "+team legnaia weight=2  # maria: new depot"
    And status exits 0 and says "in force at 4 of 4"
    And status --json lists 3 agents, 1 router and each agent's load and bound

  Scenario: two operators edit the same line; the second gets a conflict and changes nothing
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And maria applies "team legnaia weight=2  # maria: new depot"
    And turi applies "team legnaia weight=3  # turi: larger"
    Then turi's rules apply exits 3 and shows both lines, maria and turi
    And every process holds "team legnaia weight=2  # maria: new depot"

  Scenario: two operators edit different lines; both edits are in force
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And maria applies "team legnaia weight=2  # maria: new depot"
    And turi applies "team segheria weight=3  # turi: larger"
    Then every process holds "team legnaia weight=2  # maria: new depot"
    And every process holds "team segheria weight=3  # turi: larger"

  Scenario: the reply to the write is lost
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And the store loses the reply to the next write
    And maria applies "team legnaia weight=2  # maria: new depot"
    Then rules apply exits 0 and says "in force at 2 of 2"
    And the file was written once

  Scenario: the store is down
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And the store goes down
    And maria applies "team legnaia weight=2  # maria: new depot"
    Then rules apply exits 4 and says nothing was written
    And rules show prints the rules in force, fetched from a process

  Scenario: the store goes down right after an edit is accepted
    Given a fleet of 2 agents and 1 router
    When maria and turi both show the rules
    And the store goes down as soon as the next write has taken effect
    And maria applies "team legnaia weight=2  # maria: new depot"
    Then rules apply exits 0 and says "in force at 3 of 3"

  Scenario: a process that starts while the store is down gets the rules from its peers
    Given a fleet of 2 agents and 1 router
    When maria and turi both show the rules
    And maria applies "team legnaia weight=2  # maria: new depot"
    And the store goes down
    And the router is replaced
    Then every process holds "team legnaia weight=2  # maria: new depot"

  Scenario: a file damaged by a direct write to the store is rejected
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And the file in the store is overwritten with "taem x"
    Then every process rejects it, reports it and keeps its previous rules
    And turi's edit "team segheria weight=3  # turi: larger" is accepted and in force

  Scenario: the key is deleted and its revision restarts; no rule reverts
    Given a fleet of 1 agents and 1 router
    When maria and turi both show the rules
    And maria applies "team legnaia weight=2  # maria: new depot"
    And the store loses all its data
    And maria shows the rules and adds "team segheria weight=3  # turi: larger"
    Then every process holds "team legnaia weight=2  # maria: new depot"
    And every process holds "team segheria weight=3  # turi: larger"

  Scenario: a dry run shows the difference and changes nothing
    Given a fleet of 1 agents and 1 router
    When maria dry-runs "team legnaia weight=2  # maria: new depot"
    Then rules apply exits 0 and says "+team legnaia weight=2  # maria: new depot"
    And the file was not written

  Scenario: rules check lists every error and exits 1
    When rules check reads a file with two errors
    Then it exits 1 and reports both lines

  Scenario: a team put on hold is refused as not run, and others are served
    Given a fleet of 1 agents and 1 router
    When maria shows the rules and adds "hold team giardini  # maria: unpaid"
    Then a request of team giardini gets 503 for "held" as not-run
    And a request of team sportello gets 200

  Scenario: with tokens in the file a request without a valid token is refused
    Given a fleet of 1 agents and 1 router
    When the teams are replaced by one with the token "noce"
    Then a request with the token "noce" gets 200
    And a request with the token "quercia" gets 403 for "bad-token" as not-run
    And a request of team sportello gets 401 for "no-token" as not-run
