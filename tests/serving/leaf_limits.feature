Feature: Limits on requests that leafs state for all daemons together

  # Leafs got as many requests as before they stated a limit.
  @known_red
  Scenario: Leafs that state a limit get no more than it from all daemons together
    Given 8 daemons that ask the same shards of two leafs each
    When 45 queries/s are asked unevenly for 3 s
    And 70 of 100 leafs take 12 requests/s from now on
    And 45 queries/s are asked unevenly for 14 s
    Then each of them gets at most 1.5 times 12 requests/s and 5 more in any 4 s
