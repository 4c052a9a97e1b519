Feature: Connections are opened before queries need them

  Scenario: After a start the preferred leaf of each shard gets a connection, a few at a time
    Given a serving path with two leafs a shard
    And its connections are kept ready
    When 100 ms pass
    Then at most 20 leafs have a connection
    When 400 ms pass
    Then every leaf of zone-a that holds a shard has a connection and no other leaf has one

  Scenario: A daemon that gets no queries opens no more connections
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

  # A small VM opens connections to very many shards at once, which blocks its event loop.
  # All legs then look late although their answers are waiting to be read.
  Scenario: A blocked event loop does not cause hedges
    Given a serving path with two leafs a shard
    When the leafs of zone-a take 60 ms
    And a query is asked and the event loop is blocked from 20 ms to 110 ms after it
    Then no leg of it had been hedged by then

  # Hedges need new connections, and the first attempts answer before those are open.
  Scenario: The budget of a hedge that was never sent is returned
    Given a budget with a ratio of 0.2 and a slack of 56 for 8 daemons
    Then 10 s after its start it grants 3 extra attempts
    And after 2 of them were never sent it grants 2 more
