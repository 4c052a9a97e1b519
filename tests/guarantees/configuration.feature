Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a small deployment

  Scenario: A profile is in force everywhere within 3 s
    When operators set max_top_k of finder to 77
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon

  Scenario: A zone that is cut off from the platform gets the configuration from its peers
    When the daemons of zone-a are cut off from the platform
    And operators set max_top_k of finder to 77
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon

  Scenario: A daemon replaced during a platform outage starts with the configuration in force
    When operators set max_top_k of finder to 77
    And 1 s pass
    And the platform goes down
    And 2 s pass
    And the daemon small-entry-1 is replaced by one with its peers as seeds
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon
    And the daemon small-entry-1 is ready

  Scenario: An older version received from a peer does not revert a profile
    When operators set max_top_k of finder to 77
    And 1 s pass
    And every daemon receives the profile at an older version
    Then max_top_k of finder is 77 on every daemon

  Scenario: The platform is down for an hour and comes back
    When the platform goes down
    And operators set max_top_k of finder to 77 during the outage
    And 3600 s pass
    And the platform comes back
    And 8 s pass
    Then max_top_k of finder is 77 on every daemon
    And the platform received at most 20 calls a second

  Scenario: Two operators write the same object and replies are lost
    Then for any order of writes and faults each operator gets a true outcome
