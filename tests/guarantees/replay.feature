Feature: A trace replays to the same decisions as recorded

  Scenario: Traces of a run with faults replay without a difference
    Given a small deployment under load with long traces
    When the load is 100 queries a second for 3 s
    And a server of zone-a restarts
    And half of the open connections become unresponsive
    And 4 s pass
    Then the trace of each daemon replays without a difference

  Scenario: A changed action is reported as a difference
    Given a small deployment under load with long traces
    Then a trace with a changed action replays with a difference

  Scenario: Any text replays to a result or a decode error
    Then for any text the replay returns a result or raises a decode error
