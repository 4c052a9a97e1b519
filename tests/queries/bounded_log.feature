Feature: Writing logs never blocks and never grows without bound

  Scenario: The reader stalls
    Given a log whose reader has stalled
    When 50000 lines are written
    Then the writes came back, and what waits is bounded
    And after the reader goes on the dropped lines are counted
