Feature: Writing logs never blocks, and the log buffer is bounded

  Scenario: The reader of the log stalls
    Given a log whose reader has stalled
    When 50000 lines are written
    Then no write blocks and the buffer stays within its limit
    And once the reader resumes, every line is either read or counted as dropped
