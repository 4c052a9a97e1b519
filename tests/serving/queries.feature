Feature: A query over all shards is complete, or reports correctly how many are missing

  Scenario: All shards answer
    Given a serving path with two leafs a shard
    When a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And the answer holds the 5 greatest records, greatest first

  Scenario: A hedge to the shard's other leaf makes up for a pausing leaf
    Given a serving path with two leafs a shard
    When 20 queries are asked, 30 ms apart
    And the preferred leaf of shard 3 pauses for 400 ms
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And it took less than 150 ms

  Scenario: A shard whose leafs are all unresponsive is left out in time
    Given a serving path with two leafs a shard
    When all leafs of shard 3 stop responding
    And a query is asked
    And 200 ms pass
    Then the answer has 19 shards and misses 1
    And it took less than 150 ms
    And a log line names the request and the missing shard

  Scenario: A query is refused at once and not run when too few shards have a leaf
    Given a serving path with two leafs a shard
    When the leafs of shards 0 to 9 are gone
    And a query is asked
    Then it is refused at once with a retry delay
    And no leaf got the query

  Scenario: A failing leaf is retried at once on the shard's other leaf
    Given a serving path with two leafs a shard
    When the leafs of zone-a answer with server errors
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And it took less than 60 ms

  Scenario: A query is not reported as successful when all leafs fail
    Given a serving path with two leafs a shard
    When all leafs answer with server errors
    And a query is asked
    And 2000 ms pass
    Then it has failed, and is not reported as not run

  Scenario: A query is refused and not run when all leafs refuse for lack of capacity
    Given a serving path with two leafs a shard
    When all leafs refuse requests
    And a query is asked
    And 2000 ms pass
    Then it is refused with a retry delay
    And no leaf ran the query

  Scenario: The leafs stop their work when the caller leaves
    Given a serving path with two leafs a shard
    When all leafs stop responding
    And a query is asked
    And 20 ms pass
    And the caller leaves
    Then no leaf is working on a request
    And 2000 ms later no leaf has received another request

  Scenario: After the answer no leaf is still working on the query
    Given a serving path with two leafs a shard
    When all leafs of shard 3 stop responding
    And a query is asked
    And 200 ms pass
    Then no leaf is working on a request

  Scenario: A late answer is preferred to none
    Given a serving path with two leafs a shard
    When all leafs take 400 ms
    And a query is asked
    And 1000 ms pass
    Then the answer has at least 15 shards

  Scenario: The route's timeout ends a query before its deadline
    Given a serving path with two leafs a shard
    When all leafs stop responding
    And a query is asked with a deadline of 9000 ms
    And 1600 ms pass
    Then it has failed, and is not reported as not run
    And it took less than 1510 ms

  Scenario: A shard gets no more attempts than the route allows
    Given a serving path with two leafs a shard
    When a third leaf of shard 3 starts
    And all leafs answer with server errors
    And a query is asked
    And 2000 ms pass
    Then shard 3 got the query at most 2 times

  Scenario: The metrics count requests, attempts and extra attempts
    Given a serving path with two leafs a shard
    When the leafs of zone-a answer with server errors
    And a query is asked
    And 200 ms pass
    Then the metrics count 1 complete request on "find", failed attempts and extra attempts

  # Ended queries, half a megabyte each, waited for the garbage collector; a coordinator
  # peaked 30 MB above its size at rest.
  Scenario Outline: A query that has <ended> leaves nothing to the garbage collector
    Given a serving path with two leafs a shard
    And the garbage collector is off
    When a query is asked
    And 5 ms pass
    Then 20 calls of queries are in memory
    When <event>
    And 100 ms pass
    Then 0 calls of queries are in memory

    Examples:
      | ended     | event             |
      | ended     | 100 ms pass       |
      | been left | the caller leaves |
