Feature: What a daemon learns of one leaf, and shares

  # Guards against keeping what was learnt of another process of the leaf.
  Scenario: A restart forgets
    Given a leaf that has stated its work and answered 8 times too late
    When its entry has a later start
    Then nothing is learnt of it, and it counts as fast
    And after one report without a work figure still nothing is learnt of it

  # Guards against leafs that never get requests again once they were slow.
  Scenario: A slowness is forgotten without answers
    Given a leaf that has stated its work and answered 8 times too late
    Then 30 s later it counts as less than 1.4 times as slow as usual

  # Guards against slowness that other daemons find out anew with late legs of their own.
  Scenario: A slowness that lasts is shared again, a lasting speed is not
    Given a leaf that answers each 400 ms
    Then while it is 8 times slower for 8 s, its estimate is shared 4 to 12 times
    And while it is as fast as usual for 8 s, its estimate is shared at most 12 times
    And while it is as fast as usual for 20 s, its estimate is shared at most 0 times

  # Guards against estimates that leave their range, whatever leafs and daemons state.
  Scenario: Estimates stay in range
    Then after any reports, answers and shared estimates the limit is 1 to its slots
    And the expected finish time is positive and bounded

  # Guards against a faulty daemon that discredits leafs.
  Scenario: Shared estimates at most double or halve, and for 2 s
    Then any shared estimate changes another daemon's by at most a factor of 2
    And 2000 ms later by nothing
    And within 500 ms of an own answer by nothing

  # Guards against a change of the choice in deployments that state no work figure.
  Scenario: Leafs without a learnt capacity are chosen as before
    Then any choice among leafs without capacity is the lowest of the earlier costs

  # Guards against leafs of another zone that never get a request, as nothing is known.
  Scenario: Leafs without a learnt capacity get requests beside one that has it
    Given a leaf of the own zone with a learnt capacity and two others without
    Then of 300 picks 1 to 30 go to each of the others

  # Guards against a limit that stays low when the leaf handles more again.
  Scenario: The limit falls within 2 s and recovers
    Given a leaf with 4 slots that answers 5 times a second
    When its answers take 1, 2, 3 and 4 times as long at 1 to 4 requests for 2000 ms
    Then its limit is at most 2.2
    When its answers take as long as usual for 8000 ms
    Then its limit is at least 3

  # Guards against messages that grow with the leafs.
  Scenario: Shared estimates are bounded
    Given a daemon of which 500 leafs have become slow
    Then 100 messages 100 ms apart have at most 64 estimates each and 2100 together
    And no estimate is sent twice

  # Guards against relays that forward outdated estimates, and never their own.
  Scenario: A relay forwards estimates while they count, beside its own
    Given a daemon of which 500 leafs have become slow
    Then what 20 followers report of 250 leafs is forwarded within 1000 ms, beside its own

  # Guards against relays that end when only one side knows shared estimates.
  Scenario: Daemons that know only slow leafs can read the evidence
    Given evidence of one slow leaf and one estimate
    Then it is decoded as it was sent
    And a daemon that knows only slow leafs reads that leaf and an unknown one
    And an estimate out of range is malformed

  # Guards against events that flood the log, or are missing.
  Scenario: Operators see leafs with a low limit
    Given a daemon of which 25 leafs have a limit near half of their slots
    When the watch checks 4 times
    Then 25 low leafs are logged, at most 10 at each check
    And 25 leafs are below their slots
    When the leafs have recovered and the watch checks 4 times
    Then 25 recovered leafs are logged
