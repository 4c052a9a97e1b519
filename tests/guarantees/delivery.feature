Feature: Each caller gets the whole answer to its own request

  Scenario: Replies also arrive late and with wrong exchange ids
    Given a small deployment under load that has warmed up
    And replies between daemons also arrive late and with wrong exchange ids
    When the load is 60 queries a second for 4 s
    And 5 s pass
    Then every request has one answer and its hits are right
    And every answer comes within its deadline

  Scenario: Half of the connections become unresponsive
    Given a small deployment under load that has warmed up
    When the load is 60 queries a second for 4 s
    And 1 s pass
    And half of the open connections become unresponsive
    And 5 s pass
    Then every request has one answer and its hits are right
    And every answer comes within its deadline
    And at least 97 in 100 answers are complete
    And the unresponsive connections are closed

  Scenario: A daemon is killed while it holds exchanges of other daemons
    Given a small deployment under load that has warmed up
    When the load is 60 queries a second for 5 s
    And 1 s pass
    And the daemon that owns a server of zone-a is killed
    And 6 s pass
    Then at most one zone's share of the requests is unanswered or late

  Scenario: A daemon is paused while it holds exchanges of other daemons
    Given a small deployment under load that has warmed up
    When the load is 60 queries a second for 5 s
    And 1 s pass
    And the daemon that owns a server of zone-a is paused for 3 s
    And 8 s pass
    Then at most one zone's share of the requests is unanswered or late
    And no leaf's slots and no server's connections were exceeded

  Scenario: A zone is cut off from the other zones and reachable again
    Given a small deployment under load that has warmed up
    When the load is 40 queries a second for 10 s
    And 1 s pass
    And zone-a is cut off from the other zones
    And 4 s pass
    And all zones are reachable again
    And 7 s pass
    Then every request has one answer and its hits are right
    And every answer comes within its deadline
    And at least 95 in 100 answers are complete
