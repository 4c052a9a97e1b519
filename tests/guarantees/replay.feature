Feature: A recorded run is decided again just the same

  Scenario: Traces of a run with faults replay without a difference
    Given a small deployment under load whose rings are long
    When the load is 100 queries a second for 3 s
    And a server of zone-a restarts
    And half of the open connections go silent
    And 4 s pass
    Then the trace of each daemon replays without a difference

  Scenario: A changed decision shows
    Given a small deployment under load whose rings are long
    Then a trace with a changed action replays with a difference

  Scenario: No text makes the replay fail otherwise than by a decode error
    Then for any trace text the replay has a result or a decode error
