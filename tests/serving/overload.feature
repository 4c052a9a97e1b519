Feature: Overload: requests are decided on before the first leaf is asked

  # A refusal states that the request has not run, and its caller repeats it elsewhere.
  Scenario: Bulk that is refused or waits reaches no leaf while urgent requests are served
    Given a serving path of a ledger whose leafs report full queues
    When urgent and bulk requests are asked for 3000 ms
    Then bulk was refused as overloaded or waits, and none of it has reached a leaf
    And each urgent request was answered
    And the log has one overload_began with the level, and the metrics count by rank

  # Work is done for callers that have left.
  Scenario: A waiting request whose caller leaves sends nothing
    Given a serving path of a ledger whose leafs report full queues
    When urgent and bulk requests are asked for 3000 ms
    And all callers of waiting requests leave
    And the leafs have room again for 8000 ms
    Then the requests that were left have neither reached a leaf nor an outcome

  # Waiting requests are forgotten once leafs have room, or an overload is never reported to end.
  Scenario: What waits is served when the leafs have room again
    Given a serving path of a ledger whose leafs report full queues
    When urgent and bulk requests are asked for 3000 ms
    And the leafs have room again for 8000 ms
    Then each request that waited was answered
    And the log has one overload_ended with what was held back

  # The answer of a query that waited would come later than its latency objective.
  Scenario: A query that has waited is answered within its latency objective
    Given queries of which each waits for 100 ms before its shards are asked
    When a shard is too slow for a query, and for one that another daemon delegates
    Then each is answered within 150 ms with that shard missing

  # Waiting requests hold up a planned stop and are cut off at its end.
  Scenario: A stop refuses what waits
    Given a serving path of a ledger whose leafs report full queues
    When urgent and bulk requests are asked for 3000 ms
    And the daemon begins to stop
    Then each request that waited was refused, and new bulk is sent at once

  # Deployments that have not turned the part on are served differently.
  Scenario: Turned off, the same requests reach the same leafs at the same times
    Then full leafs get the same with the part absent and turned off

  # Normal operation is changed by turning the part on: refusals, waits, or cold connections.
  Scenario: Turned on, urgent requests to leafs with room reach the same leafs as before
    Then leafs with room get the same urgent requests with the part absent and turned on

  # The last free slot of a leaf is taken by bulk while others are idle.
  Scenario: Bulk leaves a leaf's last free slot while another leaf has more
    Given a serving path of a ledger whose leafs report full queues
    Then bulk is sent to a leaf with two free slots, urgent requests to the best one
    And bulk is sent to the best leaf if no other has two free slots

  # Two daemons decide on one query; or the one that sees no leafs admits everything.
  Scenario: The coordinator that runs a query decides, once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the part is on everywhere and all shards report full queues
    When callers of the small VM send bulk queries until one is refused as overloaded
    Then it was given to one coordinator, and none of its shards was asked
    And a query that may have run before is not refused there
