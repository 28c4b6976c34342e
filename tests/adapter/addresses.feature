Feature: Addresses for processes that a test starts

  # Guards against a router that can't listen because another socket took its port
  # between the choice of the port and the start.
  Scenario: A reserved port is not one that the kernel assigns
    When 40 addresses are reserved
    Then the kernel assigns none of their ports to a socket that asks for any port

  # Guards against two test suites that choose the same port at the same time.
  Scenario: A reserved port is not given out by another process
    When 40 addresses are reserved
    Then another process can reserve none of their ports
