Feature: Figures of each answer go to statsd

  Scenario: An answer is counted under its service, class and result
    Given a statsd listener
    When an answer of finder is counted
    Then the listener got "snipemount.finder.urgent.partial:1|c"
    And the listener got "snipemount.finder.urgent.elapsed:12.500000|ms"

  Scenario: Histograms are bounded and summed up by series
    When 700 callers ask once and one asks 100 times
    Then there are 500 series and the busy one has 100 answers
