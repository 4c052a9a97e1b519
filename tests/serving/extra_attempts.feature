Feature: Extra attempts of all daemons together stay within the limit

  Scenario: For any requests, faults, kills and restarts the sum stays within the limit
    Then for any run of 1 to 8 daemons extra attempts stay within ratio and slack

  Scenario: A restarted daemon spends no slack that its previous process may have spent
    Given a budget with a ratio of 0.2 and a slack of 56 for 8 daemons
    Then right after its start it grants no extra attempt
    And 10 s after its start it grants 3 extra attempts

  # Guards against load on another service. Leafs end while the store doesn't respond, and
  # leafs of another service get their addresses: requests sent there count as that
  # service's extra load.
  Scenario: No more requests are sent to an address that another leaf has taken over
    Given a serving path with two leafs a shard
    When shards 3 to 3 have leafs in zone-b that take 140 ms
    And another leaf has taken the address of the leaf of shard 3 in zone-a
    And 80 queries are asked, 100 ms apart
    Then the leaf of shard 3 in zone-a got at most 1 of them
    When 40 queries are asked, 100 ms apart
    Then the leaf of shard 3 in zone-a got at most 2 of them
    When its entry names a new address
    And a query is asked
    And 200 ms pass
    Then the leaf of shard 3 in zone-a answered it

  # Guards against a budget that is spent twice in one window. All daemons restart within
  # it, planned or forced, while extra attempts are wanted all the time.
  Scenario: All daemons restart at once after they have spent their budgets
    Then 7 daemons that restart together stay within the limit in every window

  Scenario: A hedge that is cancelled while its connection opens costs nothing
    Given a serving path with two leafs a shard
    When shards 3 to 3 have leafs in zone-a that take 120 ms
    And hedges are still connecting when they are cancelled
    And 5 queries are asked, 5 ms apart
    And 200 ms pass
    Then shard 3 has as many extra attempts left as any other
