Feature: The relay between daemons over real sockets

  Scenario: A follower receives the snapshot and then the published changes
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it
    And a change is published
    Then the follower receives 3 listings and 1 change

  Scenario: A follower that has left receives nothing, not even buffered messages
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it and leaves at the first message
    And a change is published
    Then the follower receives 1 listings and 0 change
    And the end is not reported

  Scenario: A daemon that does not follow the store refuses followers
    Given a relay on loopback with a snapshot of 0 listings
    When a daemon follows it
    Then the end is reported

  # Each daemon of a zone read the whole state of one that had lost the store.
  Scenario: A follower leaves a daemon without the store before the listings are sent
    Given a relay on loopback that has lost the store
    When a daemon follows it and leaves at the first message
    Then the relay has sent no listing
    When a daemon follows it
    Then the follower has received the loss, 3 listings and the loss

  # The entries of a zone that was cut off lapsed together: a frame for each one and each
  # follower kept the loop of a coordinator busy while queries waited.
  Scenario: Changes of one moment reach followers in one frame, in order
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it
    And an earlier build follows it
    And 50 changes are published at once
    Then the follower has received 50 changes in order, in 1 frame
    And the earlier build has received 50 changes in order, in 50 frames

  # A coordinator whose zone follows it encoded the same listing for each follower.
  Scenario: A listing is encoded once for all followers that come before it changes
    Given a relay on loopback with a snapshot of 3 listings
    And listings that count how often they are encoded
    When 5 daemons follow it one after the other
    Then 3 listings were encoded

  Scenario: A follower reports a slow leaf to the daemon it follows
    Given a relay on loopback with a snapshot of 3 listings
    When a daemon follows it
    And the follower reports a slow leaf
    Then the followed daemon has received the report

  Scenario: The age of a confirmed state is relayed, and unknown to an earlier build
    Then a confirmation of a state 1200 ms old is read as 1200 ms old
    And a confirmation of a build that states no age is read as current
    And a confirmation with an age of -1, nan or inf ms is refused

  # The closing handshake with a daemon that was frozen took the rest of the grace period
  # of a planned stop, and the process was killed.
  Scenario Outline: A stop does not wait for daemons that do not respond
    Given a daemon that <connects> another one, which freezes
    When the daemon closes and its tasks are cancelled
    Then all of its tasks have ended within 200 ms

    Examples:
      | connects                |
      | follows                 |
      | is followed by          |
      | delegates to            |
      | takes queries of        |

  # An infinite slowness that another daemon stated made a leaf unusable for good.
  Scenario: Evidence and queries with numbers that are none or infinite are refused
    Then evidence with a slowness of nan, inf or a number of 400 digits is refused
    And a query, an answer and a refusal of another daemon with such a time are refused

  # A huge one kept a leaf unused for half an hour.
  Scenario: An exaggerated slowness that another daemon reports is soon forgotten
    Then 10 s after a report of a slowness of 1e300 a leaf counts as less than 2 times slow
