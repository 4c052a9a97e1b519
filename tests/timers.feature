Feature: Timers

  # One unexpected error ended a periodic check for good.
  Scenario: A periodic call goes on after an error
    Given a call every 100 ms that raises an error the first time
    When 1000 ms of virtual time pass
    Then it was called 10 times and raised 1 error
