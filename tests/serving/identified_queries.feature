Feature: A query that is delegated bears the identity of its caller

  # Coordinators would see keys, or tell leafs no organisation or one they looked up.
  Scenario: A coordinator tells leafs the organisation without having seen the key
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And organisations whose key only the small VM knows
    When a caller of the small VM sends a query with its key
    And 500 ms pass on all VMs
    Then the answer is complete
    And the query was given to 1 coordinator
    And the leafs were told the organisation and no message has the key

  # A daemon of an earlier build forwards what its callers state about themselves.
  Scenario: A coordinator declines a query whose caller was not identified
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And organisations whose key only the small VM knows
    Then a coordinator runs a delegated query of an organisation or a public route
    And a coordinator declines one whose caller was not identified

  # Both builds run side by side while a deployment is updated.
  Scenario: A query without an identity is encoded as before
    Then a query whose caller was not identified has no further field, another has one
    And a query with a malformed identity is refused
