Feature: Linear fits and packet counts

  Scenario: Fitting points on a plane gives the plane
    Given points with base 100, 3 per engine and 7 per router
    Then the fit has 100, 3 and 7, and projects 1644 for 461 engines and 23 routers

  Scenario: Points with equal router counts cannot be fitted
    Given points that all have 2 routers
    Then fitting the points fails

  Scenario: A packet is counted once for each of its ports, including headers
    Given a UDP packet of 60 bytes from port 1000 to port 2000 and a truncated one
    Then ports 1000 and 2000 have 1 packet of 60 bytes each, and no other port has any
