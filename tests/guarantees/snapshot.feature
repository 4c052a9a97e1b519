Feature: Every answer comes from one snapshot

  Scenario: Answers from another snapshot are never merged
    Given a small deployment under load that has warmed up
    And the servers of zone-a answer from another snapshot
    When the load is 60 queries a second for 3 s
    And 4 s pass
    Then every request has one answer and its hits are right
    And at least 90 in 100 answers are complete

  Scenario: The index changes while queries run
    Given a small deployment under load that has warmed up
    When the load is 60 queries a second for 4 s
    And 1 s pass
    And the index moves to i2 and the old one is removed 200 ms later
    And 4 s pass
    Then every request has one answer and its hits are right
    And at least 95 in 100 answers are complete
    And answers came from both indexes, each answer from one

  Scenario: The old index is removed before any daemon knows the new one
    Given a small deployment under load that has warmed up
    When the platform goes down
    And the servers remove the old index
    And the load is 20 queries a second for 1 s
    And 2 s pass
    Then every request has one answer and its hits are right
    And each answer states correctly that nothing ran

  Scenario: The service is repartitioned while queries run
    Given a small deployment under load that has warmed up
    When the load is 60 queries a second for 4 s
    And 1 s pass
    And the service is repartitioned to 2 shards
    And 4 s pass
    Then every request has one answer and its hits are right
    And answers cover 4 shards at first and 2 shards at the end
