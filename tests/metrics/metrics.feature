Feature: Metrics of answers are sent to statsd and kept in histograms

  Scenario: An answer is counted by service, priority class and result
    Given a statsd listener
    When an answer of finder is counted
    Then the listener received "snipemount.finder.urgent.partial:1|c"
    And the listener received "snipemount.finder.urgent.elapsed:12.500000|ms"

  Scenario: The number of histograms is bounded and the busy series is kept
    When 700 callers send one request each and a busy one sends 100
    Then there are 500 series and the busy caller's series has 100 answers
