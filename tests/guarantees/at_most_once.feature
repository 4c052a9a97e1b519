Feature: A request that may not be repeated runs at most once

  Background:
    Given a small deployment under load that has warmed up

  Scenario: Without a key no leg is hedged or sent twice
    Given stragglers are 30 in 100
    And a server of zone-a loses 20 in 100 exchanges
    When 200 submits without a key arrive in 4 s
    And 6 s pass
    Then every request has one answer and its hits are right
    And no shard ran any request twice
    And a request that says "not run" was run by no server

  Scenario: A key sent again after its answer gets the stored outcome
    When a submit with key k1 is sent
    And 1 s pass
    And a submit with key k1 is sent
    And 1 s pass
    Then both submits have the same hits
    And key k1 ran once

  Scenario: Two daemons get one key at once
    When 40 keys are each sent to two daemons at once
    And 2 s pass
    Then each key ran once
    And of each pair at least one submit was answered with hits

  Scenario: The reply to the claim is lost after it took effect
    When the platform loses the next 3 replies to writes
    And a submit with key k2 is sent
    And 1 s pass
    Then key k2 ran once
    And every request has one answer and its hits are right

  Scenario: The platform is away
    When the platform goes down
    And a submit with key k3 is sent
    And 2 s pass
    Then the submit with key k3 was refused as not run with PLATFORM_UNAVAILABLE
    And key k3 ran 0 times

  Scenario: The platform comes back after a refusal and the key is sent again
    When the platform goes down
    And a submit with key k3 is sent
    And 2 s pass
    And the platform comes back
    And a submit with key k3 is sent
    And 2 s pass
    Then key k3 ran once

  Scenario: The platform is slow
    When the platform takes 400 ms more
    And a submit with key k4 is sent
    And 3 s pass
    Then the submit with key k4 was refused as not run with PLATFORM_UNAVAILABLE
    And key k4 ran 0 times
    When the platform takes 0 ms more
    And a submit with key k4 is sent
    And 3 s pass
    Then key k4 ran once

  Scenario: The daemon is killed between claim and leg
    When a submit with key k5 is sent to a daemon that is killed at its claim
    And 1 s pass
    And the submit with key k5 is sent again to another daemon
    And 1 s pass
    Then key k5 ran 0 times
    And the last submit with key k5 got IN_PROGRESS

  Scenario: A key is used with another request
    When a submit with key k6 is sent
    And 1 s pass
    And another submit with key k6 is sent
    And 1 s pass
    Then the last submit with key k6 got KEY_REUSED

  Scenario: Any interleaving of claims, lost replies and conflicts
    Then for any faults of the platform a key is granted at most once
