Feature: Allocation of ports for deployments on loopback

  # Ports from the range that the kernel uses for outgoing connections could already be
  # in use by one, and one port could be allocated twice.
  Scenario: Allocated ports are unique and below the kernel's ephemeral range
    Then 300 allocated ports are unique and below the kernel's ephemeral range
