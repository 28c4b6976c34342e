Feature: Tables in sections of a page

  Scenario: Replacing a table leaves the rest of the page unchanged
    Then replacing the table of one section leaves the rest of the page unchanged
    And a table is added to a section without one, and to a page without the section

  Scenario: Doctests in the modules pass
    Then the doctests of plots and replays pass
