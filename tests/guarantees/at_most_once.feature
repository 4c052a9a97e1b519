Feature: A request that is not idempotent runs at most once

  Background:
    Given a small deployment under load that has warmed up

  Scenario: Without a key no leg is hedged or sent twice
    Given stragglers are 30 in 100
    And a server of zone-a loses 20 in 100 exchanges
    When 200 requests without a key arrive in 4 s
    And 6 s pass
    Then every request has one answer and its hits are right
    And no shard ran any request twice
    And no server ran a request that was answered as not run

  Scenario: A key sent again after its answer gets the stored outcome
    When a request with key k1 is sent
    And 1 s pass
    And a request with key k1 is sent
    And 1 s pass
    Then both requests have the same hits
    And key k1 ran once

  Scenario: Two daemons receive the same key at the same time
    When 40 keys are each sent to two daemons at once
    And 2 s pass
    Then each key ran once
    And of each pair at least one request was answered with hits

  Scenario: The reply to a write that stored a claim is lost
    When the platform loses the next 3 replies to writes
    And a request with key k2 is sent
    And 1 s pass
    Then key k2 ran once
    And every request has one answer and its hits are right

  Scenario: The platform is unavailable
    When the platform goes down
    And a request with key k3 is sent
    And 2 s pass
    Then the request with key k3 was refused as not run with PLATFORM_UNAVAILABLE
    And key k3 ran 0 times

  Scenario: A refused key is sent again once the platform is available
    When the platform goes down
    And a request with key k3 is sent
    And 2 s pass
    And the platform comes back
    And a request with key k3 is sent
    And 2 s pass
    Then key k3 ran once

  Scenario: The platform is slow
    When the platform takes 400 ms more
    And a request with key k4 is sent
    And 3 s pass
    Then the request with key k4 was refused as not run with PLATFORM_UNAVAILABLE
    And key k4 ran 0 times
    When the platform takes 0 ms more
    And a request with key k4 is sent
    And 3 s pass
    Then key k4 ran once

  Scenario: A daemon is killed after it claimed a key and before it sent a leg
    When a request with key k5 is sent to a daemon that is killed after its claim
    And 1 s pass
    And the request with key k5 is sent again to another daemon
    And 1 s pass
    Then key k5 ran 0 times
    And the last request with key k5 got IN_PROGRESS

  Scenario: A key is reused for another request
    When a request with key k6 is sent
    And 1 s pass
    And another request with key k6 is sent
    And 1 s pass
    Then the last request with key k6 got KEY_REUSED

  Scenario: A key is granted at most once under outages, delays and lost replies
    Then for any faults of the platform a key is granted at most once
