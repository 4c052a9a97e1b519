Feature: Work is placed by what VMs can bear

  # Incident 0001: most VMs are too small to read the parts of 90 shards within the latency
  # objective, and each daemon ran the queries of whatever caller reached it.
  Scenario: Unequal VMs, 90 shards: callers of small VMs get their answers in time
    Given zones with 1 large and 5 small VMs each, before 90 shards
    When 200 queries of ten callers a zone arrive, 40 ms apart
    And 2000 ms pass on all VMs
    Then at least 99 of 100 queries since second 1 are in time

  # The daemon that follows the store sends each change to all others of its zone: on a small
  # link a configuration of some KB reached the last of them 60 ms later.
  Scenario: The largest VM of a zone relays the store
    Then of daemons with 1, 9, 9 and 4 the first with 9 follows the store
    And the others prefer it, then the second with 9, then that with 4
