Feature: The log lines on one request are collected from the logs of all daemons

  Scenario: A line on a request follows the earlier state changes of its daemon
    Given a log in which daemon-2 finds zone-b cut off and then refuses request abc123
    When the log lines on request abc1 are collected
    Then they are the refusal and, before it, the zone that was cut off
    And no line is from another daemon

  Scenario: The parser returns a field as it was logged
    Then a field with spaces and brackets is parsed as it was logged

  # A request that was not sent to a limited or leaving leaf had no line that said why.
  Scenario: What leafs stated about themselves precedes a refusal
    Given a log in which leafs state a limit, a rest and that they leave before request abc123 is refused
    When the log lines on request abc1 are collected
    Then the limit, the rest and the leaving leaf precede the refusal
