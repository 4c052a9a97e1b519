Feature: Work is placed by what VMs can bear

  # Incident 0001: most VMs are too small to read the parts of 90 shards within the latency
  # objective, and each daemon ran the queries of whatever caller reached it.
  Scenario: Unequal VMs, 90 shards: callers of small VMs get their answers in time
    Given zones with 1 large and 5 small VMs each, before 90 shards
    When 200 queries of ten callers a zone arrive, 40 ms apart
    And 2000 ms pass on all VMs
    Then at least 99 of 100 queries since second 1 are in time
