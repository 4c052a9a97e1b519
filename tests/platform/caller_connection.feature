Feature: A caller within the limits meets no bound, and others are told that nothing ran

  # A request may arrive in any pieces; a piece that ends at the wrong byte must not lose,
  # repeat or mix requests.
  Scenario: Requests in any pieces are answered as if each came whole
    Given callers with the default limits
    Then any sequence of requests in any pieces gets the same answers in its order

  # Callers that wait for the word to go on would wait for their own timeout.
  Scenario: A caller that asks whether to go on is told so before it sends the body
    Given callers with the default limits
    When a caller sends "a head that expects 100-continue"
    Then it receives "HTTP/1.1 100 Continue"
    When the same caller sends "its body"
    Then it receives "HTTP/1.1 200"

  # A connection that is kept idle is reused at four fifths of the idle timeout, and the
  # body may then take longer than the rest of it.
  Scenario: A slow body on a connection that was idle for long is served
    Given callers with the default limits
    When a caller waits for 12000 ms
    And the same caller sends a body of 200 bytes in pieces, one each 100 ms
    Then it receives "HTTP/1.1 200"

  # A caller must learn what was wrong, and a refused request must not have run.
  Scenario Outline: What exceeds a limit is refused without being run
    Given callers with the default limits
    When a caller sends "<form>"
    And a caller waits for <wait_ms> ms
    Then it receives "HTTP/1.1 <status>"
    And no request ran

    Examples:
      | form                        | wait_ms | status |
      | a head over the limit       | 1       | 431    |
      | 600 headers                 | 1       | 431    |
      | empty lines over the limit  | 1       | 431    |
      | a length over the limit     | 1       | 413    |
      | chunks over the limit       | 1000    | 413    |
      | an endless chunk extension  | 1000    | 431    |
      | bytes that are no HTTP      | 1       | 400    |
      | a malformed chunk           | 1       | 400    |
      | half a head                 | 3200    | 408    |
      | half a body                 | 5200    | 408    |

  # Otherwise callers that stop just short of the end take the place of all others.
  Scenario: The largest and longest unfinished requests are shed first
    Given callers that may hold 1000000 bytes together
    When 3 callers send "a large body, all but the last byte"
    And a caller waits for 1000 ms
    And a caller sends "a large body"
    Then it receives "HTTP/1.1 200"
    And the first of the others received "HTTP/1.1 503" and "Retry-After"

  # A caller that is still sending when the daemon stops would wait for nothing.
  Scenario: An unfinished request is refused when its connection closes in a stop
    Given callers with the default limits
    When a caller sends "half a body"
    And the server closes its connections
    Then it receives "HTTP/1.1 503"
    And no request ran

  # A socket takes more of a response only when a third of its buffer is free, so a caller
  # that reads 100 KB/s would seem to read nothing for longer than the timeout.
  Scenario: A caller that reads slowly but steadily is not cut off
    Given callers with the default limits
    When a caller reads 16 KB of a large response each 2000 ms, 8 times
    Then it is not cut off until it has read nothing for 5200 ms

  # The connection would never read the rest of the body.
  Scenario: A limit that is raised holds for connections that are open
    Given callers with the default limits
    When a caller sends "a request and an empty line"
    And the limit on bodies is raised to 2000000 bytes
    And the same caller sends "a body of 1500000 bytes"
    Then it receives "HTTP/1.1 200"

  # A connection that is neither idle nor busy is never closed to make room.
  Scenario: A connection that ends its request with an empty line is idle
    Given callers that may have 1 connection
    When a caller sends "a request and an empty line"
    And a caller sends "a large body"
    Then it receives "HTTP/1.1 200"

  # What was freed would count until the connection is closed, and others be shed for it.
  Scenario: What a shed connection freed is not counted again
    Given callers that may hold 60000 bytes together, and no answers
    When a caller sends "5 KB of a body"
    And a caller waits for 1000 ms
    And a caller sends "a body of 10000 bytes"
    And the same caller sends "49900 bytes of the next"
    Then 10000 bytes are counted
