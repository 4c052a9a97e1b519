Feature: Logs and metrics tell where a slow query spent its time

  # Incident 0001: with the shards that are missing alone, slow connections, a slow link
  # and slow leafs looked the same.
  Scenario: The line of a partial query states its stages
    Given a serving path with two leafs a shard
    When each leaf needs 15 ms for a connection
    And all leafs of shard 3 stop responding
    And a query is asked
    And 200 ms pass
    Then its log line has 19 opened connections, 15 ms to connect and parts after 25/25/25 ms
    And its log line has 608 bytes read

  Scenario: A complete answer that is late has a line, one on time has none
    Given a serving path with two leafs a shard
    When a query is asked
    And 200 ms pass
    Then no log line names the request
    When a query ends complete, 10 ms after its latency objective
    Then its log line has result complete

  Scenario: The stages are in the metrics
    Given a serving path with two leafs a shard
    When a query is asked
    And 200 ms pass
    Then the metrics have 1 query with its last part within 20 ms and 640 bytes read
