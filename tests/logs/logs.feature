Feature: Finding out afterwards what became of a request

  Scenario: A reader that stops costs lines, not time
    When a process logs 5000 lines into a pipe that nobody reads
    Then it took less than 2 s
    And the first line written after the reader is back says how many were lost

  Scenario: The volume is bounded under load
    When a process logs 5000 lines at once
    Then at most 800 of them are written

  Scenario: A request's story is told from the logs of several processes
    Given logs of two routers, one of which lost the store
    When the story of a refused request is asked for
    Then it begins with the lost store and ends with the refusal
    And it names no line of the other router

  Scenario Outline: explain says what it can't do for <case>
    When explain is run for <case>
    Then it exits with <status> and says "<text>"

    Examples:
      | case                    | status | text                     |
      | a request nobody logged | 1      | no line names the request |
      | a file that is missing  | 2      | missing.log              |

  Scenario: A router shows its metrics and its beliefs with their ages
    When a router that has answered and refused requests is asked
    Then its metrics count both, and time the answer
    And its status gives the version in force, its age and each endpoint's load
