Feature: Crash reports are read from the store as they were written

  # Guards against reports that other routers read with other keys, or not at all.
  Scenario: Reports are written and read back
    When a router writes crash reports under a lease and another reads the store
    Then it reads the same reports

  # Guards against reports that grow until other routers reject them as too large.
  Scenario: The largest reports that a router writes are read
    When a router has lost and cleared 500 requests with the longest keys
    Then its reports are small enough to be read

  # Guards against a follower that stops at an entry that another writer spoilt.
  Scenario Outline: A crash report with <fault> is rejected
    Then the crash reports <value> are rejected

    Examples:
      | fault             | value                                               |
      | invalid JSON      | {"lost": [                                          |
      | another type      | [1, 2]                                              |
      | no list           | {"lost": 1, "cleared": []}                          |
      | a missing field   | {"lost": []}                                        |
      | no keys           | {"lost": [["one", []]], "cleared": []}              |
      | a depth of zero   | {"lost": [["one", [["key", 0]]]], "cleared": []}    |
      | a depth as text   | {"lost": [["one", [["key", "1"]]]], "cleared": []}  |
      | a depth of true   | {"lost": [["one", [["key", true]]]], "cleared": []} |
      | a key of no text  | {"lost": [["one", [[7, 1]]]], "cleared": []}        |
      | a row of one      | {"lost": [["one"]], "cleared": []}                  |
      | a cleared number  | {"lost": [], "cleared": [["key", [1]]]}             |
