Feature: A bad version gets a small share of the queries and is taken back

  Background:
    Given a small deployment under load that has warmed up

  Scenario: A move to a good version is done in time and reported once
    When version v2 of finder starts
    And a move to v2 within 60 s begins at 40 queries a second
    And 63 s pass
    Then the move is done and was reported once
    And at least 99 in 100 answers are complete

  Scenario Outline: A bad version is taken back
    When version v2 of finder starts and <fault>
    And a move to v2 within 60 s begins at 40 queries a second
    And 63 s pass
    Then the move is taken back and was reported once
    And v2 got at most 5 in 100 of the queries
    And no query went to v2 more than 3 s after it was judged bad

    Examples:
      | fault                                   |
      | fails 20 in 100 exchanges               |
      | fails all exchanges                     |
      | is three times as slow                  |
      | answers from another snapshot           |

  Scenario: A version that turns bad late is taken back
    When version v2 of finder starts
    And a move to v2 within 60 s begins at 40 queries a second
    And 45 s pass
    And v2 fails 20 in 100 exchanges from now on
    And 18 s pass
    Then the move is taken back and was reported once
    And no query went to v2 more than 3 s after it was judged bad

  Scenario: A zone fails during a move to a good version
    When version v2 of finder starts
    And a move to v2 within 60 s begins at 40 queries a second
    And 35 s pass
    And the servers of zone-b are lost
    And 28 s pass
    Then the move is done and was reported once

  Scenario: The daemon that would end the move is killed, and replies are lost
    When version v2 of finder starts and fails 20 in 100 exchanges
    And a move to v2 within 60 s begins at 40 queries a second
    And the platform loses the next 4 replies to writes
    And the first daemon is killed as soon as the version is judged bad
    And 20 s pass
    Then the move is taken back and was reported once

  Scenario: A daemon cut off from the others never raises its share
    When version v2 of finder starts
    And small-entry-0 is cut off from all other daemons
    And 2 s pass
    And a move to v2 within 60 s begins at 40 queries a second
    And 50 s pass
    Then the share of v2 at small-entry-0 is 0

  Scenario: The share never rises while cut off or after a bad judgement
    Then for any evidence the share never rises while cut off or judged bad
