Feature: Planned work loses no request on a connection that its caller keeps

  # Guards against requests that end without an answer around SIGTERM, SIGHUP, other
  # settings and configurations, with callers that use a connection until it is closed.
  Scenario Outline: Planned work of seed <seed> overlaps <beside>
    When routers run for 6 s under the planned work of seed <seed> <beside>
    Then no request was lost
    And 100 requests were answered on connections that carried others before

    Examples:
      | seed | beside                    |
      | 1    | alone                     |
      | 2    | beside faults of the store |
