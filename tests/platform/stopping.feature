Feature: A stopping daemon answers every request that it has read

  Scenario: A request read in the event loop iteration of the idle check is served
    Given a caller interface over scripted leafs
    When a request is read in the event loop iteration in which the final wait begins
    Then the request is answered 200 before the wait ends

  Scenario: A request read after the final wait is refused and not forwarded
    Given a caller interface over scripted leafs
    When a request is read after the final wait
    Then the request is answered 503 before the wait ends
    And no leaf received the request

  Scenario: A daemon that cannot serve queries because a zone is cut off closes connections
    Given a caller interface over scripted leafs
    When a query is read while zone-b, the only zone of half of the shards, is cut off
    Then the request is answered 503 before the wait ends
    And the response announces that the connection closes

  # Requests that came late in the grace period were passed on and cut at its end.
  Scenario: A request that comes late in a stop is refused and not forwarded
    Given a caller interface over scripted leafs
    And leafs that take 400 ms
    When it stops within 600 ms while a request arrives each 20 ms
    Then no request was forwarded that came after 300 ms
    And each of these got status 503
    And each request got an answer

  Scenario: A request that does not end within the grace period is answered, not cut
    Given a caller interface over scripted leafs
    And leafs that take 4000 ms
    When it stops within 600 ms while a request arrives each 20 ms
    Then each request got an answer
    And those that were forwarded got status 502

  Scenario: Short grace periods leave time for the answers
    Then in a stop with a grace of 6000 ms requests are refused after 3000 ms and ended at 5400 ms
    And in a stop with a grace of 2000 ms requests are refused after 1000 ms and ended at 1400 ms

  # An outcome for a caller that had just left raised an error, which left attempts running.
  Scenario: A caller that leaves at the moment of the answer leaves nothing running
    Given a caller interface over scripted leafs
    When the caller of a query leaves just before its last leg is answered
    Then no error is raised and no leg runs any more
