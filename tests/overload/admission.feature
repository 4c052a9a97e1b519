Feature: Admission by the load of the leafs, as callers of each rank see it

  Leafs have 2 slots and a queue of 12, requests take 40 ms. Callers wait 1.2 s (rank 0), 3 s
  (rank 1) or 15 s (rank 2) and retry once. Each load runs with the part off and on.

  Background:
    Given 86 daemons before 9 leafs that serve 450 requests a second

  # Bulk fills the queues of the leafs, and urgent requests are refused there.
  Scenario: Bulk burst x2.2 beside urgent requests, with a third of the leafs down
    Given 3 leafs are down from 3 s to 13 s
    When 60 requests a second of rank 0 arrive for 18 s
    And 60 requests a second of rank 1 arrive for 18 s
    And 110 requests a second of rank 2 arrive for 18 s, 2.2 times as many from 3 s to 13 s
    And all requests have ended
    Then at least 99 in 100 requests of rank 0 are served in time
    And each rank is served in time at least as often as with the part off
    And at most 1 in 100 requests are served late

  # Bulk that could wait takes the room of an urgent burst.
  Scenario: Urgent burst x1.7, with a third of the leafs down
    Given 3 leafs are down from 3 s to 13 s
    When 100 requests a second of rank 0 arrive for 18 s, 1.7 times as many from 3 s to 13 s
    And 60 requests a second of rank 1 arrive for 18 s
    And 120 requests a second of rank 2 arrive for 18 s
    And all requests have ended
    Then at least 99 in 100 requests of rank 0 are served in time
    And each rank is served in time at least as often as with the part off
    And at most 1 in 100 requests are served late

  # Urgent requests exceed the capacity by themselves: they must not end up served less.
  Scenario: Urgent requests alone are more than the leafs serve
    Given 3 leafs are down from 0 s to 20 s
    When 400 requests a second of rank 0 arrive for 18 s
    And 40 requests a second of rank 2 arrive for 18 s
    And all requests have ended
    Then rank 0 is served in time at least as often as with the part off
    And at most 3 in 100 requests are served late

  # Retries at once keep the leafs full, so that nothing but retries is served.
  Scenario: Bulk burst x2.2 of callers that ignore Retry-After
    Given callers ignore Retry-After
    And 3 leafs are down from 3 s to 13 s
    When 60 requests a second of rank 0 arrive for 18 s
    And 110 requests a second of rank 2 arrive for 18 s, 2.2 times as many from 3 s to 13 s
    And all requests have ended
    Then at least 98 in 100 requests of rank 0 are served in time
    And each rank is served in time at least as often as with the part off

  # An overload longer than any deadline: less urgent requests win by waiting, or starve.
  Scenario: Twice the capacity for longer than the deadline of bulk
    Given 3 leafs are down from 0 s to 40 s
    When 80 requests a second of rank 0 arrive for 22 s
    And 80 requests a second of rank 1 arrive for 22 s
    And 420 requests a second of rank 2 arrive for 22 s
    And all requests have ended
    Then each rank is served in time at least as often as the less urgent ones
    And at least 95 in 100 requests of rank 0 are served in time

  # Daemons without a view, or with half of it, undo the decisions of the others.
  Scenario: Twice the capacity while daemons restart, join and are cut off from leafs
    Given 3 leafs are down from 0 s to 40 s
    And daemons restart, join and are cut off from half of the leafs
    When 80 requests a second of rank 0 arrive for 22 s
    And 80 requests a second of rank 1 arrive for 22 s
    And 420 requests a second of rank 2 arrive for 22 s
    And all requests have ended
    Then each rank is served in time at least as often as the less urgent ones
    And at least 90 in 100 requests of rank 0 are served in time

  # A large organisation takes the room of small ones, or bulk organisations get nothing.
  Scenario: Uneven organisations ask for one and a half times the capacity
    Given 3 leafs are down from 0 s to 40 s
    When 2 organisations of rank 0 send 50 requests a second each
    And 1 organisations of rank 1 send 200 requests a second each
    And 20 organisations of rank 1 send 4 requests a second each
    And 5 organisations of rank 2 send 20 requests a second each
    And all requests have ended
    Then no organisation is served less than a quarter as often as all together
    And at least 95 in 100 requests of rank 0 are served in time

  # Requests that could have been served are held back.
  Scenario: Nothing is held back at a third of the capacity
    When 70 requests a second of rank 0 arrive for 15 s
    And 80 requests a second of rank 2 arrive for 15 s
    And all requests have ended
    Then the part has neither queued nor refused a request

  # One leaf is taken for the service.
  Scenario: Nothing is held back for one slow leaf among others with room
    Given one leaf is 20 times slower
    When 50 requests a second of rank 0 arrive for 15 s
    And 50 requests a second of rank 2 arrive for 15 s
    And all requests have ended
    Then the part has neither queued nor refused a request

  # The least urgent rank, or an organisation that has only such requests, is starved for ever.
  Scenario: The leafs stay nearly full
    Then the least urgent rank gets its floor, and its organisation a quarter of the overall share

  # A daemon that runs few queries never sees an overload; or a few shards are taken for all,
  # or the share counts that another route or an earlier configuration needs.
  Scenario: A query over 90 shards is decided by the needed share of them
    Then bulk queries wait when 90 shards are full, and start when 80 have room

  # Bulk fills the queue, so that urgent requests are refused; or the queue grows without bound.
  Scenario: A full queue takes urgent requests in place of bulk, and no more
    Then of 100 bulk requests 32 wait, and an urgent one takes the place of the last one

  # A report out of range holds back everything, or the queue grows without bound.
  Scenario: Whatever leafs report, the bounds hold
    Then whatever leafs report, waiting and refused requests stay within their bounds
