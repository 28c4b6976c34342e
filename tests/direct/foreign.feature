Feature: An answer to an earlier request that does not end

  # Guards against a request that gets neither an answer nor a refusal.
  Scenario Outline: A request is refused at its deadline if an earlier answer <fault>
    When an endpoint's answer to an earlier request <fault>
    Then the request is refused within its timeout

    Examples:
      | fault           |
      | stops midway    |
      | goes on forever |
