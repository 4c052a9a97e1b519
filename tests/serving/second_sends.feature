Feature: Second sends of all daemons together stay within the bound

  Scenario: For any requests, faults, kills and restarts the sum stays within the bound
    Then for any course of 1 to 8 daemons second sends stay within ratio and slack

  Scenario: A daemon that has just started spends no slack that its forerunner may have spent
    Given a budget with a ratio of 0.2 and a slack of 56 for 8 daemons
    Then right after its start it grants no second send
    And 10 s after its start it grants 3 second sends

  # Pattern: planned or forced restarts of all daemons within one window, second sends wanted throughout.
  Scenario: All daemons restart at once, having spent what they may
    Then 7 daemons that restart together stay within the bound in every window
