Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a small deployment

  Scenario: A profile is in force everywhere within 3 s
    When operators set max_top_k of finder to 77
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon

  Scenario: A zone that is cut off from the platform hears of it from its peers
    When the daemons of zone-a are cut off from the platform
    And operators set max_top_k of finder to 77
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon

  Scenario: A daemon replaced while the platform is away starts with what is in force
    When operators set max_top_k of finder to 77
    And 1 s pass
    And the platform goes down
    And 2 s pass
    And the daemon small-entry-1 is replaced and knows its peers
    And 3 s pass
    Then max_top_k of finder is 77 on every daemon
    And the daemon small-entry-1 is ready

  Scenario: A stale read after an outage reverts nothing
    When operators set max_top_k of finder to 77
    And 1 s pass
    And every daemon gets the profile at an older version
    Then max_top_k of finder is 77 on every daemon

  Scenario: The platform is down for an hour and comes back
    When the platform goes down
    And operators set max_top_k of finder to 77 as the platform alone knows
    And 3600 s pass
    And the platform comes back
    And 8 s pass
    Then max_top_k of finder is 77 on every daemon
    And the platform's calls stayed under 20 a second

  Scenario: Two operators race, and replies are lost
    Then for any race of two operators each gets a true answer
