Feature: How old the state known from the store may become

  Scenario Outline: Limits leave time to read the store within the operators' bound
    Then for a bound of <bound> ms a watch waits <wait> ms and a state may be <age> ms old

    Examples:
      | bound | wait | age  |
      | 5000  | 3000 | 4000 |
      | 60000 | 3000 | 4000 |
      | 3000  | 1800 | 2400 |
      | 2000  | 1125 | 1500 |

  # With a short bound the limit left no time for the periodic check and for the read.
  Scenario: Every bound leaves time for the check, another daemon and the read
    Then for any bound from 1 s to 60 s a change is known within it
