Feature: The relay between daemons over real sockets

  Scenario: A follower begins with the snapshot and hears what is published
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it
    And a change is published
    Then the follower hears 3 listings and 1 change

  Scenario: After the follower has left, nothing is heard, not even what waits
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it and leaves at the first message
    And a change is published
    Then the follower hears 1 listings and 0 change
    And the end is not reported

  Scenario: A daemon that follows the store no more ends its followers
    Given a relay on loopback with a snapshot of 0 listings
    When a daemon follows it
    Then the end is reported

  Scenario: A follower tells what it has seen
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it
    And the follower tells of a slow leaf
    Then the daemon that is followed has heard it
