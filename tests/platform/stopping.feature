Feature: A stopping daemon answers every request that it has read

  Scenario: A request read in the event loop iteration of the idle check is served
    Given a caller interface over scripted leafs in real time
    When a request is read in the event loop iteration in which the final wait begins
    Then the request is answered 200 before the wait ends

  Scenario: A request read after the final wait is refused and not forwarded
    Given a caller interface over scripted leafs in real time
    When a request is read after the final wait
    Then the request is answered 503 before the wait ends
    And no leaf received the request

  Scenario: A daemon that cannot serve queries because a zone is cut off closes connections
    Given a caller interface over scripted leafs in real time
    When a query is read while zone-b, the only zone of half of the shards, is cut off
    Then the request is answered 503 before the wait ends
    And the response announces that the connection closes
