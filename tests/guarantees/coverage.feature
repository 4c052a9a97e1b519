Feature: Every answer states its coverage truly

  Scenario: Interleavings of partial answers cannot make the coverage lie
    Then for any partial answers the coverage counts each shard once and truly

  Scenario: A leaf's own partial answer counts as partial
    Given a small deployment under load that has warmed up
    And the leafs give 1 in 2 answers only in part
    When the load is 30 queries a second for 2 s
    And 3 s pass
    Then every request has one answer and its hits are right
    And each answer that names a partial shard says that it is partial

  Scenario: A shard with no replica left is named as missing
    Given a small deployment under load that has warmed up
    When every replica of shard 0 is lost
    And the load is 20 queries a second for 3 s
    And 4 s pass
    Then every request has one answer and its hits are right
    And no answer is complete, and each one names shard 0

  Scenario: One lost replica of each shard costs no coverage
    Given a small deployment under load that has warmed up
    When the servers of zone-b are lost
    And the load is 40 queries a second for 3 s
    And 4 s pass
    Then every request has one answer and its hits are right
    And at least 97 in 100 answers are complete
