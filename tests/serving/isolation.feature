Feature: A daemon that is cut off from other zones refuses queries at once and is not ready

  Scenario: The other zone is cut off, and the own zone has too few shards
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 200 ms apart
    And the leafs of zone-b stop responding
    And 5 queries are asked, 200 ms apart
    And a query is asked
    Then it is refused at once with a retry delay
    And the daemon is isolated
    And a log line reports that zone-b is cut off

  Scenario: The zone is reachable again
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 200 ms apart
    And the leafs of zone-b stop responding
    And 5 queries are asked, 200 ms apart
    And the leafs of zone-b respond again
    And 600 ms pass
    Then the daemon is not isolated
    And a query is answered by all shards

  Scenario: A few unresponsive leafs of a zone do not make it cut off
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 200 ms apart
    And 5 leafs of zone-b stop responding
    And 5 queries are asked, 200 ms apart
    Then the daemon is not isolated

  Scenario: A zone that is cut off has no effect where the own zone has all shards
    Given a serving path with two leafs a shard
    When the leafs of zone-b stop responding
    And 20 queries are asked, 100 ms apart
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And the daemon is not isolated

  Scenario: A query in progress that can no longer succeed ends at once
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 300 ms apart
    And the leafs of zone-b stop responding
    And a query is asked
    And 1000 ms pass
    Then it has failed, and is not reported as not run
    And it took less than 400 ms
