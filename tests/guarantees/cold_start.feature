Feature: A cold backend server gets no more load than it can handle

  Scenario: All servers are cold when the system starts
    Given a small deployment whose servers are cold
    When the load is 100 queries a second for 10 s
    And 11 s pass
    Then every request has one answer and its hits are right
    And no server crashed from overload while it was cold

  Scenario: A server turns cold under load without reporting it
    Given a small deployment under load that has warmed up
    When the load is 120 queries a second for 10 s
    And 2 s pass
    And a server of zone-a turns cold without reporting it
    And 9 s pass
    Then every request has one answer and its hits are right
    And no server crashed from overload while it was cold

  Scenario: A server restarts under load
    Given a small deployment under load that has warmed up
    When the load is 120 queries a second for 10 s
    And 2 s pass
    And a server of zone-a restarts
    And 9 s pass
    Then every request has one answer and its hits are right
    And no server crashed from overload while it was cold

  Scenario: A cold server's owner is replaced
    Given a small deployment whose servers are cold
    When the load is 100 queries a second for 8 s
    And 3 s pass
    And the daemon that owns a server of zone-a is killed
    And 6 s pass
    Then no server crashed from overload while it was cold

  Scenario: A cold server's owner is paused and resumes
    Given a small deployment whose servers are cold
    When the load is 100 queries a second for 10 s
    And 3 s pass
    And the daemon that owns a server of zone-a is paused for 3 s
    And 9 s pass
    Then no server crashed from overload while it was cold
    And no leaf's slots and no server's connections were exceeded
