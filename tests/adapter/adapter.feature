Feature: The platform's names, formats and calls

  Scenario: A configuration is decoded into routes, services and teams
    When a configuration as the platform writes it is decoded
    Then its routes, shares, services, limits and teams are as written

  Scenario Outline: A configuration with <fault> is refused whole
    When a configuration with <fault> is decoded
    Then it is refused with the step "decode"

    Examples:
      | fault                     |
      | no version                |
      | a version that is text    |
      | routes that are no list   |
      | a route without a host    |
      | a route of another type   |
      | a weight that is text     |
      | a timeout that is a list  |

  Scenario Outline: An endpoint's entry with <fault> names no endpoint
    When an endpoint's entry with <fault> is decoded
    Then it is refused with the step "decode"

    Examples:
      | fault                  |
      | no service             |
      | no slots               |
      | slots that are true    |
      | another state          |
      | an address without port |
      | a start that is text   |
      | bytes that are no JSON |

  Scenario Outline: A header <header> that holds <value> is read as <meaning>
    When a request with the header <header> of <value> is read
    Then it means <meaning>

    Examples:
      | header        | value             | meaning   |
      | deadline-ms   | 1001              | 1001      |
      | deadline-ms   | soon              | None      |
      | last-event-id | 12                | 12        |
      | prompt-prefix | 5c:800,91:410     | 2 parts   |
      | prompt-prefix | 5c:800,nonsense   | 0 parts   |
      | authorization | Bearer abc        | abc       |
      | authorization | bearer abc        | abc       |
      | authorization | Basic abc         | None      |
      | token-usage   | 1460,80           | 80 tokens |

  Scenario Outline: Settings with <fault> name the field and what is allowed
    When settings with <fault> are checked
    Then the program exits with 2 and its message names <field>

    Examples:
      | fault                    | field     |
      | no store                 | platform  |
      | an address without port  | front     |
      | ports the wrong way round | portRange |
      | a bound that is text     | revokeMs  |
      | no file at all           | No such   |

  Scenario: Everything is read in pages
    When a store holds more items than a page
    Then all of them are read

  Scenario: The store's refusals are told apart from lost answers
    When the store refuses one call and does not answer another
    Then the first is known to have done nothing and the second is not

  Scenario: A lease keeps an entry and its end removes it
    When a router is announced under a lease that ends
    Then its entry is gone

  Scenario: The built program serves, and ends cleanly when told to
    When the program is built and started with a settings file and told to stop
    Then it was ready, answered a request and exited with 0
    And its log names the request and how it was decided

  Scenario: Settings that change without a signal are taken in
    When the settings file of a running router changes
    Then the router's log says that it was reloaded

  Scenario: SIGHUP does not end a router that is still starting
    When a router gets SIGHUP while it starts
    Then it is ready all the same

  Scenario: SIGTERM ends a router that is still starting in good order
    When a router gets SIGTERM while it starts
    Then it ends with 0

  Scenario: The program starts without the libraries that cost memory
    When the program's imports are listed
    Then none of "_ssl, _hashlib, pydantic, prometheus_client, thrift" is among them

  Scenario: The demo of the platform's way of running serves, and explains what it cut
    When the demo is run
    Then it exits with 0 and shows every request served
    And it tells the cut order's story to "connection-lost"
