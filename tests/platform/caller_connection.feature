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
