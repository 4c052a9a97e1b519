Feature: What a leaf states about itself in its answers

  # Leafs that left said so in their answers, and got requests until their entry said so too.
  Scenario: A leaf that states that it leaves gets no further request
    Given 1 daemons that ask the same shards of two leafs each
    When 20 queries/s are asked unevenly for 1 s
    And the leafs of zone-a state that they leave
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got nothing in the last 0.8 s
    And at least 100 of 100 queries of the last 0.8 s are answered

  Scenario Outline: It stays so <case>
    Given 1 daemons that ask the same shards of two leafs each
    When 20 queries/s are asked unevenly for 1 s
    And the leafs of zone-a state that they leave
    And 20 queries/s are asked unevenly for 0.5 s
    And the leafs of zone-a state nothing any more
    And <case>
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got nothing in the last 0.9 s

    Examples:
      | case                                         |
      | the entries of zone-a lapse and return       |
      | the entries of zone-a are written again      |
      | the entries of zone-a move to another port   |

  Scenario: It holds for an entry that lapsed while the answer was on its way
    Given 1 daemons that ask the same shards of two leafs each
    When the leafs of zone-a take 40 ms
    And the leafs of zone-a state that they leave
    And a query is asked of them that is answered after their entries lapsed and returned
    And the leafs of zone-a state nothing any more
    And the leafs of zone-a take 10 ms
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got nothing in the last 0.9 s

  Scenario Outline: It does not pass to <case>
    Given 1 daemons that ask the same shards of two leafs each
    When 20 queries/s are asked unevenly for 1 s
    And the leafs of zone-a state that they leave
    And 20 queries/s are asked unevenly for 0.5 s
    And the leafs of zone-a state nothing any more
    And <case>
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got something in the last 0.9 s

    Examples:
      | case                                                         |
      | the leafs of zone-a start again under their ids              |
      | the leafs of zone-a start again, and the old entries return  |

  Scenario: An answer of the start before does not reach the state of the next one
    Given 1 daemons that ask the same shards of two leafs each
    When the leafs of zone-a take 40 ms
    And the leafs of zone-a state that they leave
    And a query is asked of them that is answered after they started again
    And the leafs of zone-a state nothing any more
    And the leafs of zone-a take 10 ms
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got something in the last 0.9 s

  # Leafs that refused with a time to stay away were asked again 60 ms later.
  Scenario: A leaf that refuses and wants nothing for a time gets nothing from this daemon
    Given 1 daemons that ask the same shards of two leafs each
    When 20 queries/s are asked unevenly for 1 s
    And the leafs of zone-a refuse and want nothing for 2 s
    And 20 queries/s are asked unevenly for 0.5 s
    And the leafs of zone-a refuse nothing any more
    And 20 queries/s are asked unevenly for 1.3 s
    Then the leafs of zone-a got nothing in the last 1.3 s
    When 20 queries/s are asked unevenly for 1.5 s
    Then the leafs of zone-a got something in the last 1 s

  Scenario: A lapsed entry that returns does not end that time
    Given 1 daemons that ask the same shards of two leafs each
    When the leafs of zone-a refuse and want nothing for 5 s
    And 20 queries/s are asked unevenly for 0.5 s
    And the entries of zone-a lapse and return
    And 20 queries/s are asked unevenly for 1 s
    Then the leafs of zone-a got nothing in the last 1 s

  Scenario: When no leaf wants requests, callers are told when one does
    Given 1 daemons that ask the same shards of two leafs each
    When the leafs of zone-a refuse and want nothing for 2 s
    And the leafs of zone-b refuse and want nothing for 3 s
    And 20 queries/s are asked unevenly for 0.5 s
    Then the last query was refused at once and may come back after 1400 to 2000 ms
