Feature: Directory of registered leafs

  Scenario: An entry that lapses and returns within one batch of changes is kept
    Given a directory with 12 leafs, fed by the store
    When 10 entries are removed and put again in one batch of changes
    And 5000 ms pass
    Then the directory has 12 leafs

  Scenario: Entries missing after an outage are kept for a grace time, then removed
    Given a directory with 12 leafs, fed by the store
    When the store does not respond for 5000 ms
    And the store responds again and lists 4 of the leafs
    Then the directory has 12 leafs
    And 2500 ms later the directory has 4 leafs

  Scenario: Entries missing after an outage that return within the grace time are kept
    Given a directory with 12 leafs, fed by the store
    When the store does not respond for 5000 ms
    And the store responds again and lists 4 of the leafs
    And 1500 ms pass
    And all entries are put again
    And 5000 ms pass
    Then the directory has 12 leafs

  Scenario: A removal takes effect at once while the store responds
    Given a directory with 12 leafs, fed by the store
    When 3000 ms pass while the store responds
    And 1 entries are removed
    Then the directory has 11 leafs

  Scenario: A removal takes effect at once when the store responds only every 2.5 s
    Given a directory with 12 leafs, fed by the store
    When 3000 ms pass while the store responds
    And 2500 ms pass
    And 1 entries are removed
    Then the directory has 11 leafs

  Scenario: A draining leaf and the leafs of a zone that is taken out get no requests
    Given a directory with 12 leafs, fed by the store
    When leaf 0 drains
    And zone zone-b is taken out
    Then no candidate is leaf 0 or in zone zone-b

  Scenario: An entry of an earlier start under the same id is ignored
    Given a directory with 12 leafs, fed by the store
    When leaf 0 restarts at another address
    And its old entry is read again
    Then leaf 0 is known at the new address

  Scenario: An unreadable entry removes its own leaf and no other
    Given a directory with 12 leafs, fed by the store
    When an unreadable entry is put for leaf 0
    Then the directory has 11 leafs
    And one log line reports the unreadable entry

  Scenario: Very many removals at once take effect only after a grace time
    Given a directory with 12 leafs, fed by the store
    When 3000 ms pass while the store responds
    And 8 entries are removed
    Then the directory has 12 leafs
    And 3000 ms later the directory has 4 leafs

  Scenario: An entry that changes after a query applies to the next one
    Given a serving path with two leafs a shard
    When a query is asked
    And 200 ms pass
    And the leaf of shard 3 in zone-a starts draining
    And a query is asked
    And 200 ms pass
    Then the leaf of shard 3 in zone-a did not get the query

  # Each watch of the store that was cut off counted as an outage: a leaf that was gone kept
  # its requests for as long as that went on (review, case 5).
  Scenario Outline: Calls that fail between responses of the store do not prolong a removal
    Given a directory with 12 leafs, fed by the store
    When the entry of a leaf is removed while <calls> calls <gap> ms apart fail for <span> ms each
    Then its requests ended within 3000 ms

    Examples:
      | calls | gap  | span |
      | 1     | 2900 | 200  |
      | 4     | 2000 | 400  |
      | 6     | 500  | 200  |
      | 6     | 2150 | 250  |
      | 3     | 2900 | 400  |

  # A single failed call is no outage: a grace time then keeps leafs that are gone for nothing.
  Scenario: A removal that follows a call that failed takes effect at once
    Given a directory with 12 leafs, fed by the store
    When the entry of a leaf is removed while 1 calls 1000 ms apart fail for 200 ms each
    Then its requests ended within 450 ms

  # Guards against the opposite: few running leafs whose entries lapsed in an outage are lost.
  Scenario: Few entries missing after an outage are kept for a grace time too
    Given a directory with 12 leafs, fed by the store
    When the store does not respond for 5000 ms
    And the store responds again and lists 10 of the leafs
    And 1500 ms pass
    Then the directory has 12 leafs
    And 1500 ms later the directory has 10 leafs

  # The mend of that case held for the deployments at hand; it has to for any bound and cut.
  Scenario: Cuts at any moments keep no leaf beyond the bound, whatever the settings are
    Then for any cuts, heartbeats and bounds a leaf that is gone is dropped in time

  # Each batch of very many removals began the grace time of earlier ones anew.
  Scenario: Many removals one after the other do not prolong each other
    Given a directory with 40 leafs, fed by the store
    When 12 entries are removed each 1500 ms, 3 times
    Then each of these leafs got no request 2500 ms after its removal

  # Guards against the opposite: running leafs dropped because an outage came soon again.
  Scenario: Entries that lapsed before a second outage have the grace time again after it
    Given a directory with 12 leafs, fed by the store
    When the store does not respond for 5000 ms
    And the store responds again and lists 4 of the leafs
    And 500 ms pass
    And the store does not respond for 5000 ms
    And the store responds again and lists 4 of the leafs
    And 1500 ms pass
    And all entries are put again
    And 5000 ms pass
    Then the directory has 12 leafs
