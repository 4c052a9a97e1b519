Feature: A refused request has not run, and requests that crash servers are contained

  Scenario: The load is twice the capacity of the servers
    Given a small deployment under load that has warmed up
    When the load is 500 queries a second for 4 s
    And 5 s pass
    Then every request has one answer and its hits are right
    And every answer comes within its deadline
    And no server ran a request that was answered as not run
    And some requests were refused as not run

  Scenario: The service recovers within 5 s of a burst
    Given a small deployment under load that has warmed up
    When the load is 800 queries a second for 3 s
    And 8 s pass
    And the samples so far are discarded
    And the load is 60 queries a second for 3 s
    And 5 s pass
    Then at least 99 in 100 answers are complete

  Scenario: A request that crashes servers is sent repeatedly
    Given a small deployment under load that has warmed up
    And servers crash on a query that contains poison
    When the load is 30 queries a second for 20 s
    And a query that contains poison is sent 50 times, 300 ms apart
    And 22 s pass
    Then at most 2 servers crashed
    And the last query that contains poison was refused with QUARANTINED
    And every request has one answer and its hits are right

  Scenario: A flood from one caller leaves capacity for the others
    Given a small deployment under load that has warmed up
    When the caller flood sends 600 queries a second for 5 s
    And the caller hotel sends 20 queries a second for 5 s
    And 7 s pass
    Then at least 90 in 100 answers to hotel are complete

  Scenario: Urgent queries take precedence over bulk queries under overload
    Given a small deployment under load that has warmed up
    When 300 bulk and 60 urgent queries a second arrive for 4 s
    And 6 s pass
    Then at least 97 in 100 answers to urgent queries are complete
