Feature: Formatting, merging and deltas of rules files

  Scenario: a rule is the same after it is formatted and parsed
    Then formatted rules parse back to themselves

  Scenario: formatting keeps rules and comments and is idempotent
    Then formatted texts keep rules and comments and format to themselves

  Scenario: reusing the parsed lines of an earlier revision gives the same rules
    Then parsing with an earlier revision gives the same rules as parsing without it

  Scenario: a delta turns any text into any other
    Then a delta applied to its base gives the text it was made for
    And a delta applied to another base is rejected by its digest

  Scenario: a merge equals both edits applied, in either order
    Then merges of edits of different lines contain both edits in either order

  Scenario: two changes of one line conflict, and both lines and their authors are shown
    When "team t weight=2  # maria: more" and "team t weight=3  # turi: most" both replace "team t  # nino: new"
    Then the conflict shows both lines, maria and turi

  Scenario: two new lines for one rule conflict
    When "team u weight=2  # maria: more" and "team u weight=3  # turi: most" are both added
    Then the conflict shows both lines, maria and turi

  Scenario: the removal and a change of one line conflict
    When "" and "team t weight=3  # turi: most" both replace "team t  # nino: new"
    Then the conflict shows the removal and turi's line

  Scenario: lines added at the same place are both kept
    When "team u  # maria: more" and "team v  # turi: most" are both added
    Then the merge contains both lines
