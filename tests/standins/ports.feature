Feature: Deployments on loopback find ports of their own

  Scenario: Ports are given out once, and none that the kernel may give to a connection
    Then 300 ports given out are all different and below the kernel's range
