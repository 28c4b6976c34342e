Feature: The platform's names, formats and calls

  Scenario: A configuration is decoded into routes, services and teams
    When a valid configuration of the platform is decoded
    Then its routes, shares, services, limits and teams match the document

  Scenario Outline: A configuration with <fault> is rejected as a whole
    When a configuration with <fault> is decoded
    Then decoding fails with the step "decode"

    Examples:
      | fault                      |
      | no version                 |
      | a version that is a string |
      | routes that are not a list |
      | a route without a host     |
      | a route of an unknown type |
      | a weight that is a string  |
      | a timeout that is a list   |

  Scenario Outline: An endpoint's entry with <fault> is rejected
    When an endpoint's entry with <fault> is decoded
    Then decoding fails with the step "decode"

    Examples:
      | fault                         |
      | no service                    |
      | no slots                      |
      | slots that are a boolean      |
      | an unknown state              |
      | an address without a port     |
      | a start time that is a string |
      | bytes that are not JSON       |

  Scenario Outline: The header <header> with the value <value> is decoded as <expected>
    When a request with the header <header> of <value> is decoded
    Then the decoded value is <expected>

    Examples:
      | header        | value           | expected  |
      | deadline-ms   | 1001            | 1001      |
      | deadline-ms   | soon            | None      |
      | last-event-id | 12              | 12        |
      | prompt-prefix | 5c:800,91:410   | 2 parts   |
      | prompt-prefix | 5c:800,nonsense | 0 parts   |
      | authorization | Bearer abc      | abc       |
      | authorization | bearer abc      | abc       |
      | authorization | Basic abc       | None      |
      | token-usage   | 1460,80         | 80 tokens |

  Scenario Outline: Settings with <fault> are rejected with a message that names the field
    When the program is started with settings that have <fault>
    Then the program exits with 2 and its message names <field>

    Examples:
      | fault                     | field         |
      | no store                  | platform      |
      | an address without a port | front         |
      | ports in descending order | portRange     |
      | a bound that is a string  | revokeMs      |
      | a window without end      | budgetWindowS |
      | a window of no time       | budgetWindowS |
      | no file                   | No such       |

  Scenario: A store with more items than one page is read completely
    When a store with more items than one page is read
    Then all items are returned

  # Guards against a router that is busy for twice as long as a change needs.
  Scenario: Of the versions in one answer of a watch only the newest is decoded
    When two versions and one that can't be read are written while a watch waits
    Then the second version is the only configuration that is returned

  Scenario: A call that the store refuses is told apart from a call without an answer
    When the store refuses one call and does not answer another
    Then only the first is reported as refused, and the second took effect

  Scenario: A router's entry is removed when its lease expires
    When a router is announced under a lease that expires
    Then its entry is removed and the lease can't be renewed

  Scenario: The built program serves requests and exits cleanly on SIGTERM
    When the program is built, started with a settings file and stopped by SIGTERM
    Then it was ready, answered a request and exited with 0
    And its log shows the request with its endpoint, version and route
    And the log tells which load the router believed and which the endpoint reported

  Scenario: A changed settings file is reloaded without a signal
    When the settings file of a running router changes
    Then the router's log reports the reload

  Scenario: SIGHUP does not stop a router that is still starting
    When a router receives SIGHUP while it starts
    Then it still becomes ready

  Scenario: SIGTERM stops a router that is still starting, with exit status 0
    When a router receives SIGTERM while it starts
    Then its exit status is 0

  Scenario: The program does not import libraries that use much memory
    When the program's imports are listed
    Then none of "_ssl, _hashlib, pydantic, prometheus_client, thrift" is among them

  Scenario: The demo serves all requests and explains the order that was cut
    When the demo is run
    Then it exits with 0 and shows every request served
    And it shows that the cut order failed with "connection-lost"
