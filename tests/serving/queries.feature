Feature: A query over all shards is complete, or says truly what is missing

  Scenario: All shards answer
    Given a serving path with two leafs a shard
    When a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And the answer holds the 5 greatest records, greatest first

  Scenario: A leaf in a pause is made up for by the shard's other leaf
    Given a serving path with two leafs a shard
    When 20 queries are asked, 30 ms apart
    And both zones' first choice of shard 3 pauses for 400 ms
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And it took less than 150 ms

  Scenario: A shard whose leafs are all silent is left out in time
    Given a serving path with two leafs a shard
    When all leafs of shard 3 fall silent
    And a query is asked
    And 200 ms pass
    Then the answer has 19 shards and misses 1
    And it took less than 150 ms
    And a log line names the request and the missing shard

  Scenario: Too few shards have a leaf: refused at once, and nothing ran
    Given a serving path with two leafs a shard
    When the leafs of shards 0 to 9 are gone
    And a query is asked
    Then it is refused at once with a time to come back
    And no leaf got the query

  Scenario: A shard's failing leaf is made up for at once
    Given a serving path with two leafs a shard
    When the leafs of zone-a answer with failures
    And a query is asked
    And 200 ms pass
    Then the answer has 20 shards and misses 0
    And it took less than 60 ms

  Scenario: Leafs that fail and are silent everywhere: no success is made up
    Given a serving path with two leafs a shard
    When all leafs answer with failures
    And a query is asked
    And 2000 ms pass
    Then it has failed, and nothing is said about not having run

  Scenario: All leafs refuse for lack of room: refused, truly not run
    Given a serving path with two leafs a shard
    When all leafs refuse
    And a query is asked
    And 2000 ms pass
    Then it is refused with a time to come back
    And no leaf ran the query

  Scenario: The caller leaves: the work at the leafs ends
    Given a serving path with two leafs a shard
    When all leafs fall silent
    And a query is asked
    And 20 ms pass
    And the caller leaves
    Then no leaf is at work
    And 2000 ms later no leaf has got more of it

  Scenario: After the answer no leaf is at work on the query any more
    Given a serving path with two leafs a shard
    When all leafs of shard 3 fall silent
    And a query is asked
    And 200 ms pass
    Then no leaf is at work

  Scenario: The answer comes late rather than never
    Given a serving path with two leafs a shard
    When all leafs take 400 ms
    And a query is asked
    And 1000 ms pass
    Then the answer has at least 15 shards

  Scenario: The route's timeout ends the wait
    Given a serving path with two leafs a shard
    When all leafs fall silent
    And a query is asked with 9000 ms to go
    And 1600 ms pass
    Then it has failed, and nothing is said about not having run
    And it took less than 1510 ms

  Scenario: A shard is asked at no more leafs than the route allows
    Given a serving path with two leafs a shard
    When a third leaf of shard 3 starts
    And all leafs answer with failures
    And a query is asked
    And 2000 ms pass
    Then shard 3 got the query at most 2 times

  Scenario: The figures tell requests, sends and second sends
    Given a serving path with two leafs a shard
    When the leafs of zone-a answer with failures
    And a query is asked
    And 200 ms pass
    Then the figures name 1 complete request on "find", failed sends and second sends
