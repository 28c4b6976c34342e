Feature: The operators' pages match the code

  Scenario: every refusal reason is explained
    Then OPERATIONS.md has a row for each refusal reason and no other

  Scenario: every metric and log event in the code is explained
    Then OPERATIONS.md names each metric of both binaries
    And OPERATIONS.md names each log event of the product packages

  Scenario: the table of the capacity page matches the committed JSON
    Then the table of CAPACITY.md equals that of tools/capacity.py

  Scenario: a changed measurement changes the table
    Then another value in the JSON gives another table
