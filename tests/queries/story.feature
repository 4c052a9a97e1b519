Feature: One request's story from the logs of all daemons

  Scenario: The lines on a request, with what its daemon believed before
    Given a log in which daemon-2 loses zone-b and then refuses request abc123
    When the story of abc1 is told
    Then it names the refusal and, before it, the zone that was cut off
    And it names nothing of other daemons

  Scenario: A log line survives the round trip
    Then any text in a field is read as it was written
