Feature: Connections are open before queries need them

  Scenario: After a start each shard's first choice gets a connection, a few at a time
    Given a serving path with two leafs a shard
    And its connections are kept ready
    When 100 ms pass
    Then at most 20 leafs have a connection
    When 400 ms pass
    Then every leaf of zone-a that holds a shard has a connection and no other leaf has one

  Scenario: A daemon that gets no queries opens nothing more
    Given a serving path with two leafs a shard
    And its connections are kept ready
    When 30000 ms pass
    And a third leaf of shard 3 starts
    And the leafs of zone-a are removed
    And 10000 ms pass
    Then no leaf of zone-b has a connection
    When a query is asked
    And 3000 ms pass
    Then some leaf of zone-b has a connection

  # Pattern: a small VM opens a connection to each of very many shards at once; its loop
  # is late, and all legs look late.
  Scenario: A late loop does not take its own lateness for that of the leafs
    Given a serving path with two leafs a shard
    When the leafs of zone-a take 60 ms
    And a query is asked and the loop stands still from 20 ms to 110 ms after it
    Then no leg of it had a second leaf by then

  # Pattern: second leafs are asked over new connections, and the first ones answer first.
  Scenario: A second send that never left is given back
    Given a budget with a ratio of 0.2 and a slack of 56 for 8 daemons
    Then 10 s after its start it grants 3 second sends
    And after 2 of them never left it grants 2 more
