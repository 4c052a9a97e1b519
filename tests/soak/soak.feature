Feature: Real daemons keep their promises under faults from outside them

  # The clock of the machine decides what happens when; only promises without a bound of
  # time are checked here.
  Scenario: A short soak of two daemons
    When 2 daemons run under the faults of seed 7 for 5 s
    Then callers got answers
    And no promise was broken

  Scenario Outline: What breaks a promise is found
    Given a record in which <what>
    Then the check finds "<finding>"

    Examples:
      | what                                            | finding                               |
      | a request that may run once ran twice           | ran 2 times at ledger                 |
      | a refused request that may run once has run     | said not to have run, and ran         |
      | an answer names the receipt of another request  | a receipt of no run of this request   |
      | an answer names fewer parts than it states      | parts and missing ones do not add up  |
      | an answer holds other records than its parts    | not the greatest records of its parts |
      | a query ran at a service that is not its own    | ran at ledger, route find             |

  Scenario Outline: What breaks a bound of time is found, unless something else disturbed it
    Given a record in which <what>
    Then the check of times finds "<finding>"
    And with the store away meanwhile it finds nothing

    Examples:
      | what                                            | finding               |
      | a leaf gets a request 4 s after it had left     | which had left        |
      | a request is cut while its daemon stops         | cut by a planned stop |
