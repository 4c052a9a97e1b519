Feature: Ownership of servers, hedges and replies to exchanges

  Scenario: Shares stay within a server's slots under cuts, pauses and restarts
    Then for any faults among 3 daemons their shares of a server stay within its slots

  Scenario: A slow exchange is hedged, and the one answered second is cancelled
    Given a query on two servers of which the first is slow
    When the hedge delay has passed
    Then a hedge is sent to the second server alone
    And the first answer ends the query and cancels the other exchange

  Scenario: A reply from another daemon or to another request is dropped
    Given a small deployment under load that has warmed up
    And a daemon forges replies to the exchanges of the others
    When the load is 40 queries a second for 2 s
    And 3 s pass
    Then forged replies came
    And every request has one answer and its hits are right
