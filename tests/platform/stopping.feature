Feature: A stopping daemon answers what it has read

  Scenario: A request is read in the very turn in which the daemon looks for running ones
    Given a caller interface over scripted leafs in real time
    When a request is read and the last wait begins in the same turn
    Then the request is answered 200 before the wait is over

  Scenario: A request that is read after the last wait is refused and never passed on
    Given a caller interface over scripted leafs in real time
    When the last wait is over and a request is read
    Then the request is answered 503 before the wait is over
    And no leaf got it

  Scenario: A daemon that is cut off sends its callers to others
    Given a caller interface over scripted leafs in real time
    When a query is read while zone-b is cut off and half of the shards are there
    Then the request is answered 503 before the wait is over
    And the connection is announced to close
