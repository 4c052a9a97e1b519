Feature: Cold leafs and new versions get no more than they may

  Scenario: All daemons together stay within a cold leaf's bound
    Then for any daemons and bounds the shares of a cold leaf sum up to at most the bound

  Scenario: A cold leaf gets its part and not more; the others take the rest
    Given a serving path whose services bear 2 requests a second while cold
    When the leafs of zone-a are cold
    And 100 queries are asked, 20 ms apart
    And 2000 ms pass
    Then no leaf of zone-a got more than 8 requests in any second
    And all queries since second 10 are complete

  Scenario: A new version under an order gets nothing while the old one has leafs
    Given a serving path with two leafs a shard
    When the leafs of zone-a are of version v2, which is held
    And 10 queries are asked, 30 ms apart
    And 200 ms pass
    Then no leaf of zone-a got a request

  Scenario: A held version is used rather than nothing
    Given a serving path with two leafs a shard
    When the leafs of zone-a are of version v2, which is held
    And the leafs of zone-b are removed
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
