Feature: Second sends of all daemons together stay within the bound

  Scenario: For any requests, faults, kills and restarts the sum stays within the bound
    Then for any course of 1 to 8 daemons second sends stay within ratio and slack

  Scenario: A daemon that has just started spends no slack that its forerunner may have spent
    Given a budget with a ratio of 0.2 and a slack of 56 for 8 daemons
    Then right after its start it grants no second send
    And 10 s after its start it grants 3 second sends

  # Pattern: leafs end while the store is away, and their addresses go to leafs of another
  # service: what is sent there counts as that service's extra load.
  Scenario: Where another leaf has the address, nothing more is sent
    Given a serving path with two leafs a shard
    When shards 3 to 3 have leafs in zone-b that take 140 ms
    And the address of the leaf of shard 3 in zone-a has gone to another leaf
    And 80 queries are asked, 100 ms apart
    Then the leaf of shard 3 in zone-a got at most 1 of them
    When 40 queries are asked, 100 ms apart
    Then the leaf of shard 3 in zone-a got at most 2 of them
    When its entry names a new address
    And a query is asked
    And 200 ms pass
    Then the leaf of shard 3 in zone-a answered it

  # Pattern: planned or forced restarts of all daemons within one window, second sends wanted throughout.
  Scenario: All daemons restart at once, having spent what they may
    Then 7 daemons that restart together stay within the bound in every window

  Scenario: A second send whose connection was still opening costs nothing
    Given a serving path with two leafs a shard
    When shards 3 to 3 have leafs in zone-a that take 120 ms
    And second sends are still connecting when they are cancelled
    And 5 queries are asked, 5 ms apart
    And 200 ms pass
    Then shard 3 has as many second sends left as any other
