Feature: A request to one leaf runs at most as often as its route allows

  Scenario: The leaf's answer is passed on unchanged
    Given a serving path with two leafs a shard
    When a "look" request is asked
    And 100 ms pass
    Then the leaf's answer 200 is passed on

  Scenario: A request that is not idempotent is not retried once it may have run
    Given a serving path with two leafs a shard
    When the ledger's leafs lose their connections
    And a "log" request is asked
    And 6000 ms pass
    Then it has failed, and is not reported as not run
    And it was sent 1 times

  Scenario: A request that is not idempotent is retried on another leaf after a refusal
    Given a serving path with two leafs a shard
    When 3 of the ledger's leafs refuse requests
    And a "log" request is asked
    And 100 ms pass
    Then the leaf's answer 200 is passed on
    And it ran 1 times

  Scenario: A request that is not idempotent is not hedged when the leaf is unresponsive
    Given a serving path with two leafs a shard
    When all leafs stop responding
    And a "log" request is asked
    And 6100 ms pass
    Then it has failed, and is not reported as not run
    And it was sent 1 times

  Scenario: An idempotent request is hedged when the leaf is unresponsive
    Given a serving path with two leafs a shard
    When 5 "look" requests are asked, 2500 ms apart
    And the leaf that is asked next stops responding
    And a "look" request is asked
    And 600 ms pass
    Then the leaf's answer 200 is passed on

  Scenario: A request is refused with a retry delay when no leaf can be reached
    Given a serving path with two leafs a shard
    When no leaf can be reached
    And a "log" request is asked
    And 100 ms pass
    Then it is refused with a retry delay

  Scenario: A leaf's server error is passed on when there is no other answer
    Given a serving path with two leafs a shard
    When all leafs answer with server errors
    And a "log" request is asked
    And 100 ms pass
    Then the leaf's answer 500 is passed on
    And it was sent 1 times

  Scenario: A weighted route keeps its weights
    Given a serving path with two leafs a shard
    When 400 "split" requests are asked, 20 ms apart
    Then the ledger got 300 of them and the archive 100

  Scenario: Requests are refused, not answered as unknown, before the first configuration
    Given a serving path without a configuration
    When a "look" request is asked
    Then it is refused at once with a retry delay

  Scenario: A request without a matching route is answered as unknown
    Given a serving path with two leafs a shard
    When a "nowhere" request is asked
    Then its route is unknown

  Scenario: An older configuration is ignored
    Given a serving path with two leafs a shard
    When a configuration of version 7 without the route "look" is read
    And a configuration of version 5 with all routes is read
    And a "look" request is asked
    Then its route is unknown

  # Callers may repeat a request that may run only once if they know that it has not run.
  Scenario: A request that was never sent is refused as not run, not failed, at its deadline
    Given a serving path with two leafs a shard
    When packets to the ledger's leafs are dropped
    And a "log" request is asked
    And 6100 ms pass
    Then it is refused with a retry delay
    And no leaf ran the query
    And it was sent 0 times
    When packets to the ledger's leafs are not dropped any more
    And 2000 ms pass
    Then it was sent 0 times

  # A request that raised was answered 500 without a log line, and its attempts ran on.
  Scenario Outline: A fault of the program while a request starts leaves nothing running
    Given a serving path with two leafs a shard
    When the choice of a leaf raises from the <nth>th time on
    And a "<route>" request is asked
    Then it has failed, and is not reported as not run
    And no leaf is working on a request
    And one log line names the request that raised

    Examples:
      | nth | route |
      | 1   | look  |
      | 1   | find  |
      | 3   | find  |
