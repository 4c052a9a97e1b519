Feature: A request that crashes leafs is held back, and all others are served

  # Incident 0012: it came again each 2 s and crashed two leafs each time, without end.
  Scenario Outline: A request that crashes each leaf that runs it: <route>
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 15 times on route <route>, 2 s apart
    Then at most 3 leafs have crashed
    And at most 3 requests with the poison reached leafs later than 4 s after the third crash
    And each later request with the poison was refused at once as quarantined
    And the log names the leafs that it has crashed

    Examples:
      | route |
      | look  |
      | log   |

  # Each shard lost both leafs, and then again. Of very many crashes a few are kept, which
  # are enough, also for a query that a quarter of the shards can answer.
  Scenario Outline: A query that crashes the leafs of all shards: <route>
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 8 times on route <route>, 4 s apart
    Then at most 24 leafs have crashed
    And each later request with the poison was refused at once as quarantined
    And the poison reached leafs once, and once more 10 s later

    Examples:
      | route |
      | find  |
      | scan  |

  # The other shards answer it, so nothing but that shard may be kept from it.
  Scenario: A query that crashes the leafs of one shard
    Given a service of seven leafs, which a poisonous request crashes
    And only shard7 is crashed by it
    When the poison is posted 8 times on route find, 4 s apart
    Then at most 3 leafs have crashed
    And each request with the poison was answered with at least 19 shards

  # A leaf runs several requests when it crashes: equal ones are on each of them.
  Scenario Outline: Others are served beside it, <kind> ones on route <route>
    Given a service of seven leafs, which a poisonous request crashes
    And others post <kind> requests on route <route>, each 17 ms
    When 1 s passes there
    And the poison is posted 15 times on route look, 2 s apart
    Then at most 3 leafs have crashed
    And no other request was refused
    And at most <lost> other requests got no answer

    Examples:
      | kind      | route | lost |
      | equal     | look  | 0    |
      | different | look  | 0    |
      | equal     | log   | 9    |
      | different | log   | 9    |

  # Only the first crash may take others along: as many as its leaf has slots.
  Scenario: It runs for a while before it crashes its leaf
    Given a service of seven leafs, which a poisonous request crashes
    And it crashes a leaf 100 ms after it has begun
    And others post different requests on route log, each 17 ms
    When 1 s passes there
    And the poison is posted 15 times on route look, 2 s apart
    Then at most 3 leafs have crashed
    And no other request was refused
    And at most 2 other requests got no answer

  # Equal requests are struck three times at the same moment, after they were answered.
  Scenario: Three leafs crash at once that run the same popular request
    Given a service of seven leafs, which a poisonous request crashes
    And others post equal requests on route look, each 17 ms
    When 1 s passes there
    And 3 leafs that run the popular request crash at once
    And 1 s passes there
    Then no other request was refused
    And at most 0 other requests got no answer

  # Leafs crash for other reasons too; a query that runs then is retried as before.
  Scenario: Leafs of many shards crash while queries run
    Given a service of seven leafs, which a poisonous request crashes
    And others post equal requests on route find, each 20 ms
    When 20 s pass there
    And the first leaf of each of 10 shards crashes
    And 5 s pass there
    And the first leaf of each of 10 shards crashes
    And 5 s pass there
    And the first leaf of each of 10 shards crashes
    And 1 s passes there
    Then no other request was refused
    And each other query was answered by all shards that have a leaf

  # The request has run nowhere else yet: the shards that do not crash speak for it.
  Scenario: The first query of its kind meets the crash of many leafs
    Given a service of seven leafs, which a poisonous request crashes
    And others post equal requests on route find, each 20 ms
    When 20 s pass there
    And a query is posted, and the first leaf of each of 10 shards crashes 2 ms later
    And 1 s passes there
    Then each other query was answered by all shards that have a leaf

  # Nothing has answered the query when all that it has asked is gone.
  Scenario: All leafs of one zone crash under a query
    Given a service of seven leafs, which a poisonous request crashes
    And others post equal requests on route find, each 20 ms
    When 20 s pass there
    And a query is posted, and the first leaf of each of 20 shards crashes 2 ms later
    And 1 s passes there
    Then each other query was answered by all shards that have a leaf

  # Resets, lost answers and planned ends look the same to one connection.
  Scenario Outline: What only looks like a crash: <what>
    Given a service of seven leafs, which a poisonous request crashes
    When <what> ends the connections of a request 10 times
    Then a further request like it is sent to a leaf

    Examples:
      | what         |
      | a reset      |
      | a planned end |

  Scenario: It is tried again after a time, at one leaf
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 4 times on route look, 2 s apart
    And 602 s pass there
    And the poison is posted 4 times on route look, 2 s apart
    Then 4 leafs have crashed

  Scenario: A query is tried again after a time, at one leaf
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 8 times on route find, 4 s apart
    Then at most 24 leafs have crashed
    When 602 s pass there
    And the poison is posted 4 times on route find, 4 s apart
    Then at most 25 leafs have crashed

  # It was held back by the loss of a whole service, and crashes nothing.
  Scenario: A query that was lost with all leafs of all shards
    Given a service of seven leafs, which a poisonous request crashes
    When a query is posted, and the first leaf of each of 20 shards crashes 2 ms later
    And the first leaf of each of 20 shards crashes
    And 12 s pass there
    And a query is posted
    Then the last query was answered by all shards

  Scenario: It is tried again with a new version of the service
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 4 times on route look, 2 s apart
    And the leafs of the ledger are replaced by version v2, which is not crashed by it
    And the poison is posted 3 times on route look, 2 s apart
    Then 3 leafs have crashed
    And the last 3 requests with the poison were answered

  Scenario: It crashes the new version of the service too
    Given a service of seven leafs, which a poisonous request crashes
    When the poison is posted 4 times on route look, 2 s apart
    And the leafs of the ledger are replaced by version v2
    And the poison is posted 6 times on route look, 2 s apart
    Then 4 leafs have crashed
