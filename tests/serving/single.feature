Feature: A request to one leaf runs as often as its route allows

  Scenario: The leaf's answer is passed on unchanged
    Given a serving path with two leafs a shard
    When a "look" request is asked
    And 100 ms pass
    Then the leaf's answer 200 is passed on

  Scenario: A request that may not be repeated is not sent again once it may have run
    Given a serving path with two leafs a shard
    When the ledger's leafs lose their connections
    And a "log" request is asked
    And 6000 ms pass
    Then it has failed, and nothing is said about not having run
    And it was sent 1 times

  Scenario: A request that may not be repeated goes on to the next leaf after a true refusal
    Given a serving path with two leafs a shard
    When 3 of the ledger's leafs refuse
    And a "log" request is asked
    And 100 ms pass
    Then the leaf's answer 200 is passed on
    And it ran 1 times

  Scenario: A silent leaf: no second send of what may not be repeated
    Given a serving path with two leafs a shard
    When all leafs fall silent
    And a "log" request is asked
    And 6100 ms pass
    Then it has failed, and nothing is said about not having run
    And it was sent 1 times

  Scenario: A silent leaf: a second send of what may be repeated
    Given a serving path with two leafs a shard
    When 5 "look" requests are asked, 2500 ms apart
    And the leaf that is asked next falls silent
    And a "look" request is asked
    And 600 ms pass
    Then the leaf's answer 200 is passed on

  Scenario: Nobody can be reached: refused, not run, with a time to come back
    Given a serving path with two leafs a shard
    When no leaf can be reached
    And a "log" request is asked
    And 100 ms pass
    Then it is refused with a time to come back

  Scenario: The leaf's failure is passed on when there is nothing better
    Given a serving path with two leafs a shard
    When all leafs answer with failures
    And a "log" request is asked
    And 100 ms pass
    Then the leaf's answer 500 is passed on
    And it was sent 1 times

  Scenario: A split route keeps its weights
    Given a serving path with two leafs a shard
    When 400 "split" requests are asked, 20 ms apart
    Then the ledger got 300 of them and the archive 100

  Scenario: Before any configuration is known, requests are refused and not denied
    Given a serving path that knows nothing yet
    When a "look" request is asked
    Then it is refused at once with a time to come back

  Scenario: An unknown route is denied
    Given a serving path with two leafs a shard
    When a "nowhere" request is asked
    Then it is denied

  Scenario: The configuration never goes back
    Given a serving path with two leafs a shard
    When a configuration of version 7 without the route "look" is read
    And a configuration of version 5 with all routes is read
    And a "look" request is asked
    Then it is denied
