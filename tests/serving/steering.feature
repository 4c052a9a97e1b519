Feature: Limits on requests to cold leafs and to new versions

  Scenario: All daemons together stay within a cold leaf's limit
    Then for any daemons and limits the shares of a cold leaf add up to at most the limit

  Scenario: A cold leaf gets requests up to its limit and the other leafs get the rest
    Given a serving path whose leafs handle 2 requests a second while cold
    When the leafs of zone-a are cold
    And 100 queries are asked, 20 ms apart
    And 2000 ms pass
    Then no leaf of zone-a got more than 8 requests in any second
    And all queries since second 10 are complete

  Scenario: A new version held by an order gets no requests while the old one has leafs
    Given a serving path with two leafs a shard
    When the leafs of zone-a are of version v2, which is held
    And 10 queries are asked, 30 ms apart
    And 200 ms pass
    Then no leaf of zone-a got a request

  Scenario: A held version gets requests when no other version has leafs
    Given a serving path with two leafs a shard
    When the leafs of zone-a are of version v2, which is held
    And the leafs of zone-b are removed
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
