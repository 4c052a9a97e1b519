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

  # The network between the zones refused connections instead of dropping packets. That
  # counted as a response of the leafs: the daemon stayed ready, and its callers failed
  # until the cut ended.
  Scenario: Connections to the other zone are refused, and the own zone has too few shards
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 200 ms apart
    And the leafs of zone-b refuse connections
    And 3 queries are asked, 100 ms apart
    And a query is asked
    Then it is refused at once with a retry delay
    And the daemon is isolated
    And a log line reports that zone-b is cut off
    When 2000 ms pass
    Then the daemon is isolated
    When the leafs of zone-b accept connections again
    And 600 ms pass
    Then the daemon is not isolated
    And a query is answered by all shards

  # With few requests a second, most of a zone's leafs had crashed and refused
  # connections before the others had answered.
  Scenario: Crashed leafs do not make a zone cut off while others of it respond
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 2 queries are asked, 3000 ms apart
    And 9 leafs of zone-b refuse connections
    And 6 queries are asked, 3000 ms apart
    Then no log line reports a zone that is cut off

  Scenario: A zone of which one leaf is left is reachable again soon
    Given a serving path whose shards have one leaf each, half of them in zone-b
    When 5 queries are asked, 200 ms apart
    And the leafs of zone-b refuse connections
    And 3 queries are asked, 100 ms apart
    Then the daemon is isolated
    When 1 leaf of zone-b accepts connections again
    And 1500 ms pass
    Then a log line reports that zone-b is reachable again

  # Callers with one retry used it at once, on a daemon that refused them too.
  Scenario: A refused caller is told when the balancer sends it to other zones
    Given a serving path whose shards have one leaf each, half of them in zone-b
    And a balancer that moves callers 800 ms from now
    When 5 queries are asked, 200 ms apart
    And a query is asked
    And 100 ms pass
    Then the answer has 20 shards and misses 0
    When the leafs of zone-b refuse connections
    And 3 queries are asked, 100 ms apart
    And a query is asked
    Then it is refused at once, to be asked again in 800 ms
