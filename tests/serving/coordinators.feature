Feature: Queries over all shards run on the VMs that bear them

  # Two daemons that decide differently would send queries in circles or to a VM that
  # cannot run them.
  Scenario: Coordinators are the VMs that bear at least half as much as the largest
    Then of VMs with 10, 9, 4 and 1 those with 10 and 9 coordinate
    And of equal VMs all coordinate
    And a daemon that states no capacity runs its own queries and gets no others

  Scenario: Parts don't cross zones where a zone holds all shards
    Then a daemon prefers coordinators of its own zone, then those of zones with all shards
    And without its own zone's leafs it prefers zones with all shards

  # Otherwise the loss of that one VM would bring incident 0001 back.
  Scenario: Where one VM exceeds all others the next largest replace it
    Then a daemon with 1 prefers the VM with 40, then those with 10, and not another with 1

  Scenario: A VM that is added or lost moves few queries
    Then without one of 12 coordinators only its own queries move

  # Each daemon decides alone how much it takes of a leaf's limits.
  Scenario: The shares of all daemons never exceed a limit
    Then for any daemons the shares of a limit add up to it at most

  Scenario: No hop where all VMs are alike, and none for requests to one leaf
    Given 4 zones with 0 large and 3 small VMs, before 90 shards
    When 20 queries of ten callers a zone arrive, 100 ms apart
    Then no message was sent between daemons
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When a caller of a small VM sends a "look" request
    And 500 ms pass on all VMs
    Then no message was sent between daemons
    And the answer is complete

  Scenario: All large VMs are lost: small ones run their queries at once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When all large VMs crash
    And 100 ms pass on all VMs
    And a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then the answer is complete
    And no message was sent between daemons

  # The query may have run, so each attempt of the second run counts as an extra one.
  Scenario: A coordinator crashes while it runs a query: another runs it, from the budget
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the coordinator of the query crashes
    And 500 ms pass on all VMs
    Then the answer is complete
    And each shard that was asked twice has spent budget

  Scenario Outline: A coordinator is <fault>: the query is asked elsewhere in time
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And the nearest coordinator of a small VM is <fault>
    And that small VM gets a "find" request
    And 400 ms pass on all VMs
    Then the answer is complete
    And it reached the caller within 120 ms
    When that small VM gets a "find" request
    And 400 ms pass on all VMs
    Then the answer is complete
    And the nearest coordinator was not asked

    Examples:
      | fault   |
      | frozen  |
      | cut off |

  Scenario: A coordinator that freezes after it took a query is given up
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the coordinator of the query is cut off
    And 600 ms pass on all VMs
    Then the answer is complete

  # A run that was given up and its repeat together asked three leafs of a shard
  # whose route allows two.
  Scenario Outline: A query that is run twice, as its coordinator <fault>, stays within its attempts
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And all leafs of 10 shards hang
    And <after_ms> ms after the next "scan" query of a small VM its coordinator <fault>
    And 900 ms pass on all VMs
    Then the query was given to 2 coordinators
    And no shard of the query was asked more often than its route allows

    Examples:
      | fault      | after_ms |
      | is mute    | 0        |
      | crashes    | 60       |
      | is cut off | 60       |
      | is mute    | 60       |

  # The permission was spent on an attempt that did not run, and the next one was never
  # granted: the query waited for its deadline.
  Scenario: A further attempt that a leaf refuses is made at the next leaf
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And the leafs that are asked first of 10 shards lose their connections, the second refuse
    And that small VM gets a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete
    And it reached the caller within 120 ms

  # Waiting would only delay the caller's own retry.
  Scenario: A lost query that has used up its attempts fails at once
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And all leafs of 10 shards hang
    And 60 ms after the next "find" query of a small VM its coordinator crashes
    And 10 ms pass on all VMs
    Then the query has failed
    And no shard of the query was asked more often than its route allows

  # Handing listings to other daemons kept the loops of both coordinators of a zone busy;
  # their queries failed, though both would have run them.
  Scenario Outline: All coordinators stall for <stall_ms> ms: no query fails
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And all large VMs stall for <stall_ms> ms
    And that small VM gets a "find" request
    And 700 ms pass on all VMs
    Then the answer is complete
    And it reached the caller within <within_ms> ms

    Examples:
      | stall_ms | within_ms |
      | 60       | 300       |
      | 150      | 400       |

  Scenario: A coordinator that answers late after its last attempts is still heard
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And 500 ms pass on all VMs
    And all leafs of 10 shards hang
    And 60 ms after the next "find" query of a small VM its coordinator stalls for 250 ms
    And 900 ms pass on all VMs
    Then the query was given to 1 coordinator
    And no shard of the query was asked more often than its route allows

  # The small VMs ran their first queries themselves, which took their processors 40 ms.
  Scenario: A daemon that has just started delegates its first query
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    And the same VMs just after their start
    When 30 ms pass on all VMs
    And that small VM gets a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete
    And the query was given to 1 coordinator

  # The readiness of a zone's daemons moves its callers to other zones. Daemons that delegate
  # learnt of a partition only from queries that they ran themselves, 0.2 to 4.2 s later.
  Scenario: A zone is cut off: daemons that delegate learn it from their coordinators
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And zone-d is cut off from the others
    And 5 queries of a large VM of zone-d arrive, 100 ms apart
    And 500 ms pass on all VMs
    Then all daemons of zone-d are isolated, and no others
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    Then the query was refused
    When zone-d is not cut off any more
    And 2000 ms pass on all VMs
    Then no daemon is isolated
    When a caller of a small VM sends a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete

  # The store turned both coordinators of a zone away while leafs were replaced: each query
  # asked both and was then run on a small VM, or refused.
  Scenario: The coordinators of a zone know no leafs: those of other zones are asked
    Given 4 zones with 2 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And the large VMs of zone-a know no leafs
    And a small VM of zone-a gets a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete
    And it reached the caller within 120 ms
    And a coordinator of another zone than zone-a has answered

  # One VM whose own link fails must not take others out.
  Scenario: A coordinator that wrongly takes zones for cut off moves no callers
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When 100 queries of ten callers a zone arrive, 20 ms apart
    And the large VM of zone-d takes all other zones for cut off
    And 200 ms pass on all VMs
    Then no small VM is isolated
    When 400 ms pass on all VMs
    Then no daemon is isolated

  Scenario: A coordinator that stops completes its queries and takes no more
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the coordinator of the query stops
    Then it has 1 query in flight
    When 300 ms pass on all VMs
    Then it has 0 queries in flight
    And the answer is complete
    When that small VM gets a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete
    And the nearest coordinator was not asked

  # Otherwise a burst would gather on one VM.
  Scenario: A coordinator whose VM bears no more says so at once, and another runs the query
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When the nearest coordinator of a small VM is full
    And that small VM gets a "find" request
    And 300 ms pass on all VMs
    Then the answer is complete
    And it reached the caller within 120 ms
    And a log line of the small VM names "busy"

  # Leafs must not work on for a caller that has left.
  Scenario: A caller leaves: the leafs of its query are cancelled
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the caller of the small VM leaves
    And 20 ms pass on all VMs
    Then no leaf works on the query

  Scenario: A connection ends: the leafs of its queries are cancelled
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When a caller of a small VM sends a "find" request
    And 12 ms pass on all VMs
    And the small VM crashes
    And 20 ms pass on all VMs
    Then no leaf works on the query

  # The route of a query must not change on its way.
  Scenario: Daemons with different configurations don't run each other's queries
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When no daemon hands configurations on
    And the large VMs have a newer configuration for 300 ms
    And a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then the answer is complete
    And a log line of the small VM names "other_configuration"

  Scenario: A configuration that has just been replaced still serves delegated queries
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When the large VMs have a newer configuration for 50 ms
    And a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then the answer is complete
    And the query was delegated once

  # The store answers some daemons and not others: without this, all queries between
  # them were run on small VMs until it answered all.
  Scenario: A newer configuration reaches daemons that the store does not answer
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When the large VMs have a newer configuration for 300 ms
    Then each daemon has the newer configuration
    And no daemon was sent the configuration more than twice
    When a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then the answer is complete
    And the query was delegated once

  # A configuration with many routes crossed zones once for each small VM, whose link it
  # filled while the daemon that it follows was sending the same.
  Scenario: A newer configuration that reaches a zone late crosses zones only to its coordinators
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When the VMs of zone-a have a newer configuration for 400 ms
    Then each daemon has the newer configuration
    And only coordinators were sent the configuration from other zones

  Scenario: A small VM hands a newer configuration on to all coordinators it is linked to
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When one small VM has a newer configuration for 1000 ms
    Then each daemon has the newer configuration

  Scenario: A request's id leads through the logs of both daemons
    Given 4 zones with 1 large and 3 small VMs, before 90 shards
    When all leafs of 1 shard hang
    And a caller of a small VM sends a "find" request
    And 500 ms pass on all VMs
    Then the line of the small VM names the coordinator
    And the line of the coordinator names the small VM and the missing shard

  Scenario: Messages between daemons are read as they were written
    Then any message between a delegating daemon and a coordinator survives its encoding
    And bytes that are no message are refused
