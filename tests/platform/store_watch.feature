Feature: A watch of the store tells how old the known state may be

  # After a change that came late in a watch's wait, the state counted as too old before the
  # next confirmation was due, and all daemons of a zone turned to the store.
  Scenario: A change that came late in the wait is confirmed before the state is too old
    Given a store that reports a change of a configuration 1800 ms after it is watched
    When it is watched with a wait of 2000 ms for 4500 ms
    Then the state was never older than 3000 ms
    And there were at most 6 calls

  Scenario: Changes of leafs cost no further calls
    Given a store that reports a change of a leaf 1800 ms after it is watched
    When it is watched with a wait of 2000 ms for 4500 ms
    Then there were at most 5 calls

  # The pause after changes of leafs came on top of the wait: the state became older than a
  # watch lets it become, and the first in line of a zone left its relay for that.
  Scenario: The pause after changes of leafs does not delay the next confirmation
    Given a store that reports a change of a leaf 300 ms after it is watched
    When it is watched with a wait of 1000 ms for 2600 ms
    Then the state was never older than 1150 ms
    And there were at most 5 calls

  # A silent connection showed only after the longest wait, whatever the call had asked for.
  Scenario: A watch with a short wait is given up soon when it gets no response
    Given a store that never answers a watch
    When it is watched from a state 1900 ms old with a wait of 2000 ms
    Then the watch has failed after 700 to 2000 ms
