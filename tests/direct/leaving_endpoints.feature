Feature: An endpoint that leaves gets no new work

  # Guards against requests to an endpoint that has said in its answers that it leaves,
  # while the store does not say so.
  Scenario Outline: An endpoint that says in <answer> that it leaves gets no new request
    Given an endpoint that says in <answer> that it leaves, and a sound one
    When ten more requests are sent while the store is silent
    Then all are answered, none of them by the endpoint that leaves

    Examples:
      | answer                              |
      | a whole answer                      |
      | the head of a stream                |
      | an error of its own                 |
      | a rejection                         |
      | an informational answer             |
      | an answer to an earlier request     |

  # Guards against a sound endpoint that is given up for what another one says.
  Scenario Outline: An endpoint is used on after <answer>
    Given an endpoint that says in <answer> that it leaves, and a sound one
    When ten more requests are sent while the store is silent
    Then some of them are answered by the first endpoint

    Examples:
      | answer                              |
      | an answer with another value        |
      | the rejection of a misdirected request |

  # Guards against a request that is chosen before an endpoint leaves and sent after.
  Scenario: A request whose connection opens after its endpoint has said that it leaves
    Given a request that waits for a connection to an endpoint
    When the endpoint says that it leaves before the connection opens
    Then the request is answered by the other endpoint and the first one gets nothing

  Scenario: All endpoints of a service leave
    Given two endpoints of which both have said that they leave
    When one more request is sent
    Then it is refused at once as not run, with a time to come back

  # Guards against a stream that is continued at an endpoint that leaves.
  Scenario: A stream breaks off while the only other endpoint leaves
    Given a stream at an endpoint that breaks off, and another endpoint that leaves
    When the stream breaks off
    Then the endpoint that leaves gets no request for the rest

  # Guards against an endpoint that left during an outage of the store and is used again
  # for a while as one whose entry may only have lapsed.
  Scenario: An endpoint that said that it leaves is missing after an outage of the store
    Given an endpoint that said that it leaves during an outage of the store
    When the store returns without its entry
    Then no endpoint of its service is usable
