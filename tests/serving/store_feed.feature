Feature: What the store tells reaches every daemon, at few calls and in spite of faults

  Scenario: One daemon of a zone follows the store
    Given 6 daemons in 2 zones, fed by one store
    When 20 s pass for them
    And the operators write version 7
    And 0.1 s pass for them
    Then all daemons have version 7 in force
    And 4 watches wait at the store

  Scenario: The daemon that is followed is killed
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the first daemon of zone-a is killed
    And the operators write version 7
    And 1 s pass for them
    Then all daemons but the first have version 7 in force

  Scenario: The daemon that is followed freezes
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the first daemon of zone-a freezes
    And the operators write version 7
    And 2.5 s pass for them
    Then all daemons but the first have version 7 in force

  Scenario: The store turns away the daemon that is followed
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the store turns the first daemon of zone-a away
    And the operators write version 7
    And 2.5 s pass for them
    Then all daemons but the first have version 7 in force

  Scenario: The store is away and returns with more changes than its history holds
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the store goes away
    And 6 s pass for them
    And the operators write version 7
    And the store forgets its history
    And the store answers again
    And 2.5 s pass for them
    Then all daemons have version 7 in force

  Scenario: Leafs that drain are known to all
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the entry of leaf-1 says that it drains
    And 0.1 s pass for them
    Then no daemon would ask leaf-1

  Scenario: A zone taken out gets nothing from anyone
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the operators close zone-a
    And 1.5 s pass for them
    Then no daemon would ask leaf-0

  Scenario: A daemon that starts while the store is away learns from the seeds
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the store goes away
    And 3 s pass for them
    And a daemon starts in zone-b with a seed
    And 4 s pass for them
    Then the new daemon has version 1 in force

  Scenario: A daemon that knows more than the one it would follow keeps to the store
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And a daemon starts in zone-b beside them
    And 0.3 s pass for them
    And the operators write version 7
    And 5 s pass for them
    And the operators write version 8
    And 0.1 s pass for them
    Then all daemons have version 8 in force

  Scenario: The daemon that is followed lives but confirms nothing any more
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And the first daemon of zone-a hears nothing from the store and notices nothing
    And the operators write version 7
    And 5 s pass for them
    Then all daemons but the first have version 7 in force

  Scenario: A daemon restarted alone knows at once how many share the bounds
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And a daemon starts in zone-b beside them
    And 0.05 s pass for them
    Then the new daemon counts 7 daemons

  # Pattern: leafs of many shards turn slow, and each daemon asks each leaf seldom.
  Scenario: What one daemon sees of a slow leaf is known in its zone
    Given 6 daemons in 2 zones, fed by one store
    When 5 s pass for them
    And leaf-0 has answered daemon 2 far too late
    And 0.3 s pass for them
    Then the daemons of zone-a know that leaf-0 is slow, and only they
