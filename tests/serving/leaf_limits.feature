Feature: Limits on requests that leafs state for all daemons together

  # Leafs got as many requests as before they stated a limit.
  Scenario Outline: Leafs that state a limit get no more than it from all daemons together
    Given <daemons> daemons that ask the same shards of two leafs each
    When 45 queries/s are asked unevenly for 3 s
    And <percent> of 100 leafs take <limit> requests/s from now on
    And 45 queries/s are asked unevenly for 14 s
    Then each of them gets at most 1.5 times <limit> requests/s and 5 more in any 4 s

    Examples:
      | daemons | percent | limit |
      | 8       | 70      | 12    |
      | 8       | 100     | 12    |
      | 8       | 70      | 0.5   |
      | 8       | 70      | 0     |
      | 40      | 70      | 4     |

  Scenario: Coordinators and other daemons share a limit
    Given 61 daemons, of which 10 coordinate queries over all shards
    When 45 queries/s are asked unevenly for 3 s
    And 70 of 100 leafs take 6 requests/s from now on
    And 45 queries/s are asked unevenly for 14 s
    Then each of them gets at most 1.5 times 6 requests/s and 5 more in any 4 s

  # A query that too few shards can answer uses up no limit: others can be answered with it.
  Scenario: Queries beyond the limits of all leafs are refused at once
    Given 8 daemons that ask the same shards of two leafs each
    When 100 of 100 leafs take 12 requests/s from now on
    And 45 queries/s are asked unevenly for 14 s
    Then at least 40 of 100 queries of the last 10 s are answered
    And each other query was refused within 1 ms and told when to come back

  Scenario: A limit that ends is no longer kept
    Given 8 daemons that ask the same shards of two leafs each
    When 100 of 100 leafs take 6 requests/s from now on
    And 45 queries/s are asked unevenly for 8 s
    And no leaf states a limit any more
    And 45 queries/s are asked unevenly for 10 s
    Then at least 99 of 100 queries of the last 8 s are answered

  Scenario: A limit of 0 that ends is noticed by a request now and then
    Given 8 daemons that ask the same shards of two leafs each
    When 100 of 100 leafs take 0 requests/s from now on
    And 45 queries/s are asked unevenly for 8 s
    And no leaf states a limit any more
    And 45 queries/s are asked unevenly for 30 s
    Then at least 99 of 100 queries of the last 2 s are answered

  Scenario: A limit that falls is kept at once
    Given 8 daemons that ask the same shards of two leafs each
    When 70 of 100 leafs take 20 requests/s from now on
    And 45 queries/s are asked unevenly for 5 s
    And 70 of 100 leafs take 5 requests/s from now on
    And 45 queries/s are asked unevenly for 10 s
    Then each of them gets at most 1.5 times 5 requests/s and 5 more in any 4 s

  Scenario: A limit belongs to one start of a leaf
    Given 1 daemons that ask the same shards of two leafs each
    When 100 of 100 leafs take 0 requests/s from now on
    And 45 queries/s are asked unevenly for 2 s
    And all leafs start again without a limit
    And 45 queries/s are asked unevenly for 2 s
    Then at least 99 of 100 queries of the last 1.5 s are answered

  Scenario: Limits alone do not make a daemon that lost a zone isolated
    Given 8 daemons that ask the same shards of two leafs each
    When the leafs of zone-a take 0 requests/s from now on
    And 45 queries/s are asked unevenly for 2 s
    And leafs of zone-b respond to nobody
    Then the daemon is not isolated

  Scenario: Hedges are not sent to leafs that state a limit
    Given 1 daemons that ask the same shards of two leafs each
    When 100 of 100 leafs take 100 requests/s from now on
    And 30 queries/s are asked unevenly for 20 s
    And they are all known
    And the leafs of zone-a take 400 ms
    And 30 queries/s are asked unevenly for 2 s
    Then no leaf gets a further attempt at a request once it has stated its limit
