Feature: A request of an organisation is counted once if a leaf may have begun it

  # Each leg, or each attempt, would be counted as a request.
  Scenario: A query over all shards counts once, in the window of its first attempt
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When a query is asked
    And 500 ms pass
    Then 1 request was counted, begun when it arrived

  Scenario: Each request to one leaf counts, an answer of the leaf's own failure too
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When 3 "look" requests are asked, 20 ms apart
    And all leafs answer with server errors
    And a "log" request is asked
    And 100 ms pass
    Then 4 requests were counted

  # A refusal promises that the request has not run.
  Scenario Outline: Requests that are refused, as <cause>, do not count
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When <cause>
    And a "log" request is asked
    And a query is asked
    And 7000 ms pass
    Then 0 requests were counted

    Examples:
      | cause                  |
      | no leaf can be reached |
      | no leaf is known       |

  Scenario: A request that all leafs refuse but one counts once
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When 3 of the ledger's leafs refuse requests
    And a "log" request is asked
    And 100 ms pass
    Then 1 request was counted

  Scenario: Requests without an organisation are not counted
    Given a serving path with two leafs a shard
    And the requests of callers without a key are counted
    When a query is asked
    And 500 ms pass
    Then 0 requests were counted

  # Its leafs have worked for it.
  Scenario Outline: The caller of a "<route>" request leaves: it counts once
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When all leafs stop responding
    And a "<route>" request is asked
    And 50 ms pass
    And its caller leaves, twice
    And 7000 ms pass
    Then 1 request was counted, begun when it arrived

    Examples:
      | route |
      | look  |
      | find  |

  Scenario: The caller leaves before a connection is open: the request does not count
    Given a serving path with two leafs a shard
    And the requests of callers are counted
    When no leaf accepts connections for now
    And a "look" request is asked
    And its caller leaves, twice
    Then 0 requests were counted

  # The coordinators that ran the query, and their leafs, must not count it as well.
  Scenario: A delegated query counts once, at the daemon that the caller reached
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then 1 request was counted
    And the small VM has counted it

  Scenario: A coordinator dies and the query is delegated again: it counts once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the coordinator of the query crashes
    And 500 ms pass on all VMs
    Then 1 request was counted

  Scenario: All coordinators are lost, and the daemon runs the query itself: it counts once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When all large VMs crash
    And a caller of a small VM sends a "find" request
    And 800 ms pass on all VMs
    Then 1 request was counted

  Scenario: A query that coordinators decline and no leaf can run does not count
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When no leaf is known
    And a caller of a small VM sends a "find" request
    And 800 ms pass on all VMs
    Then 0 requests were counted

  Scenario: Coordinators decline a query and no leaf gets it: its caller leaves uncounted
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When no leaf accepts connections for now
    And all coordinators are full
    And a caller of a small VM sends a "find" request
    And 60 ms pass on all VMs
    And the caller of the small VM leaves
    Then 0 requests were counted

  Scenario: The caller of a delegated query leaves: it counts once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the requests of callers are counted
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the caller of the small VM leaves
    And 500 ms pass on all VMs
    Then 1 request was counted

  # A report held up by one long request would be late, and without it would be too low.
  Scenario: A window is closed once its requests have ended, or 2 s after its end
    Given a counter of windows of 5 s
    When a request begins at 4900 ms and ends at 5800 ms
    And a request begins at 4950 ms and ends at 9000 ms
    Then window 0 is not closed at 6900 ms
    And window 0 is closed at 7000 ms with 2 requests
    And window 0 still has 2 requests at 9500 ms
    And window 1 is closed at 10300 ms with 0 requests

  # It would delay the close of all later windows, and the requests kept would grow.
  Scenario: A request whose end is never told delays windows for half a minute at most
    Given a counter of windows of 5 s
    When a request arrives at 100 ms, and nothing more is told of it
    Then window 0 is not closed at 6900 ms
    And window 7 is not closed at 37000 ms
    And window 7 is closed at 40300 ms with 0 requests

  # A step of the clock that is reverted would move requests to another window.
  Scenario: A clock that is stepped for less than half a minute does not move true time
    Then after a step of 5 s, and of -8 s, for up to 29 s true time is as before
    And after a step of 5 s for 40 s true time has followed
    And a suspension of 20 s advances true time by 20 s

  Scenario: A time of day that was wrong for long and is set back loses no later counts
    Given a counter of windows of 5 s
    When the clock shows 400000 ms for a time, then 20000 ms again
    And a request begins at 21000 ms and ends at 21100 ms
    Then window 4 is closed at 25300 ms with 1 requests
