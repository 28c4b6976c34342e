Feature: Tracing a request afterwards from logs, metrics and status

  Scenario: A stopped log reader loses lines but does not block the process
    When a process logs 5000 lines into a pipe that nobody reads
    Then it took less than 2 s
    And the first line written after the reader resumes says how many were dropped

  Scenario: The number of log lines is limited under load
    When a process logs 5000 lines at once
    Then at most 800 of them are written

  # Guards against a line that is lost because an odd entry's text can't be encoded.
  Scenario: A line with text that has no encoding is written
    When a process logs a lone surrogate
    Then the line is written with an escape for it

  Scenario: A request is traced through the logs of several processes
    Given logs of two routers, one of which lost the store
    When the lines about a refused request are selected
    Then they begin with the lost store and end with the refusal
    And they include no line of the other router

  Scenario Outline: explain reports an error for <case>
    When explain is run for <case>
    Then it exits with <status> and says "<text>"

    Examples:
      | case                         | status | text                      |
      | a request that is not logged | 1      | no line names the request |
      | a missing file               | 2      | missing.log               |

  Scenario: A router serves its metrics and its view of the fleet with ages
    When metrics and status are requested from a router that answered and refused requests
    Then its metrics count both and contain the time of the answer
    And its status contains the version in force, its age and each endpoint's load
    And both tell which endpoints leave, are closed or have a limit
