Feature: Zones, backend servers and daemons leave without interrupting requests

  Background:
    Given a small deployment under load that has warmed up

  Scenario: A zone is taken out
    When the load is 60 queries a second for 8 s
    And 1 s pass
    And operators take zone-a out
    And 3 s pass
    And the exchanges started by servers of zone-a are counted
    And 6 s pass
    Then no server of zone-a has started an exchange since
    And every request has one answer and its hits are right
    And at least 99 in 100 answers are complete

  Scenario: A zone taken out is brought back
    When operators take zone-a out
    And 5 s pass
    And the load is 100 queries a second for 10 s
    And operators bring zone-a back
    And 11 s pass
    Then servers of zone-a have started exchanges again
    And no server crashed from overload while it was cold
    And at least 99 in 100 answers are complete

  Scenario: The platform lists a server as draining
    When the load is 60 queries a second for 6 s
    And 1 s pass
    And the platform lists a server of zone-a as draining
    And 3 s pass
    And the exchanges started by servers of zone-a are counted
    And 4 s pass
    Then the draining server has started no exchange since
    And every request has one answer and its hits are right
    And at least 99 in 100 answers are complete

  Scenario: Only the server itself reports that it drains
    When the load is 60 queries a second for 6 s
    And 1 s pass
    And a server of zone-a refuses exchanges because it drains
    And 3 s pass
    And the exchanges started by servers of zone-a are counted
    And 4 s pass
    Then the draining server has started no exchange since
    And at least 99 in 100 answers are complete

  Scenario: A daemon stops gracefully under load
    When the load is 60 queries a second for 6 s
    And 1 s pass
    And the daemon that owns a server of zone-a is stopped gracefully
    And 7 s pass
    Then the daemon has stopped
    And every request has one answer and its hits are right
    And at least 99 in 100 answers are complete
    And no leaf's slots and no server's connections were exceeded
    And no server crashed from overload while it was cold
