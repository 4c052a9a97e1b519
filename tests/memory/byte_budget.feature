Feature: A budget of bytes is kept, and what is freed is counted as free

  # A count that drifts refuses every caller in the end, or none.
  Scenario: Any sequence of reservations keeps the sum and the limit
    Then any sequence of reservations and releases keeps the sum within the limit

  # Shedding the wrong ones lets many small or young requests pay for a few old, large ones.
  Scenario: Enough is shed, the largest and oldest first, and nothing that is served
    Then any unfinished requests are shed in the order of bytes times age until there is room
