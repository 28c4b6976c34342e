Feature: Where requests go under load

  No scenario here opens a connection.

  # Guards against prompts that leave their homes as endpoints that nobody has told of
  # count as idle.
  Scenario: Most endpoints' loads are not known
    Given 40 endpoints, of which 9 reported loads of 8 requests 0 ms ago
    Then the mean load is 7.2 requests
    And an endpoint that nobody has told of counts as holding 7.2 requests

  # Guards against one overloaded endpoint, the only one that was told of, that makes
  # all others look as busy.
  Scenario: Only an overloaded endpoint was told of
    Given 4 endpoints, of which 1 reported loads of 40 requests 0 ms ago
    Then the mean load is 20 requests

  # Guards against long prompts that hold up short ones on the same server.
  Scenario: A home reads long prompts and is busier than most
    Given a home with 8 requests and two other endpoints with 3 requests
    Then a prompt with a context of 700 tokens goes to another endpoint
    And a prompt with a context of 10500 tokens goes to its home

  Scenario: All endpoints are equally busy
    Given a home with 10 requests and two other endpoints with 10 requests
    Then a prompt with a context of 700 tokens goes to its home
    And a prompt with a context of 10500 tokens goes to its home

  # Guards against many routers that send to the one endpoint that all have heard of.
  Scenario: Many routers know the same loads of a plain service
    Given 4 endpoints with 6 slots that hold 1, 4, 4 and 4 requests
    When 400 routers choose at the same moment
    Then no endpoint is chosen more than 240 times
    And the least loaded one is chosen most often

  # Guards against requests to endpoints whose machines are busy with others' work.
  Scenario: One endpoint's machine takes 3 times as long as usual
    Given 4 endpoints of which one takes 300 percent of the usual time
    When 400 routers choose at the same moment
    Then the slow one is never chosen beside a usual one

  Scenario Outline: An endpoint reports its load as <text>
    Then a load of <text> is read as <running>, <waiting>, <slots> and <percent>

    Examples:
      | text       | running | waiting | slots | percent |
      | 3,1,8      | 3       | 1       | 8     | 100     |
      | 3,1,8,140  | 3       | 1       | 8     | 140     |
      | 3, 1, 8, x | 3       | 1       | 8     | 100     |
      | 3,1,8,90,7 | 3       | 1       | 8     | 90      |

  Scenario Outline: An endpoint reports something that is no load
    Then a load of <text> is not read

    Examples:
      | text  |
      | 3,1   |
      | 3,x,8 |
      | ?     |
