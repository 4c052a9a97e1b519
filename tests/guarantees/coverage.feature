Feature: Every answer states its coverage correctly

  Scenario: The coverage is correct for any sequence of partial answers
    Then for any partial answers the coverage counts each shard once and correctly

  Scenario: An incomplete answer of a leaf counts as partial
    Given a small deployment under load that has warmed up
    And 1 in 2 answers of the leafs are incomplete
    When the load is 30 queries a second for 2 s
    And 3 s pass
    Then every request has one answer and its hits are right
    And each answer that names a partial shard has the code PARTIAL

  Scenario: A shard with no replica left is named as missing
    Given a small deployment under load that has warmed up
    When every replica of shard 0 is lost
    And the load is 20 queries a second for 3 s
    And 4 s pass
    Then every request has one answer and its hits are right
    And no answer is complete, and each partial one names shard 0

  Scenario: The loss of one replica of each shard does not reduce the coverage
    Given a small deployment under load that has warmed up
    When the servers of zone-b are lost
    And the load is 40 queries a second for 3 s
    And 4 s pass
    Then every request has one answer and its hits are right
    And at least 97 in 100 answers are complete
