Feature: A response is accepted only for the request that it answers

  Scenario: A complete response is accepted and the connection is reused
    Given a connection to a leaf with a pending request
    When the leaf sends the complete response
    Then the response is accepted
    And the connection is idle

  Scenario: A response that arrives byte by byte is accepted
    Given a connection to a leaf with a pending request
    When the leaf sends the complete response byte by byte
    Then the response is accepted
    And the connection is idle

  Scenario: A response to another request is skipped, and the connection is not reused
    Given a connection to a leaf with a pending request
    When a response to another request arrives
    And the leaf sends the complete response
    Then the response is accepted
    And the connection is closed

  Scenario: A request is lost when only a response to another request arrives
    Given a connection to a leaf with a pending request
    When a response to another request arrives
    And the connection reaches EOF
    Then the request is lost

  Scenario: A second response after the first closes the connection
    Given a connection to a leaf with a pending request
    When the leaf sends the complete response twice at once
    Then the response is accepted
    And the connection is closed

  Scenario: Data without a pending request closes the connection
    Given a connection to a leaf with a pending request
    When the leaf sends the complete response
    And a response to another request arrives
    Then the connection is closed

  Scenario: Closing a connection frees its place in the pool at once
    Given a connection to a leaf with a pending request
    When the leaf sends the complete response
    And the daemon closes the connection
    Then the pool was notified before the next event loop iteration

  # A coordinator kept all connections of a burst open, up to 900 of them.
  Scenario: Connections that a burst needed are closed after it, the oldest first
    Given a client with 7 connections to one leaf that serve a request each
    When all of them become idle, one after the other
    Then only the last 2 of them are open and idle

  Scenario: A truncated response is not accepted
    Given a connection to a leaf with a pending request
    When the leaf sends a truncated response
    And the connection reaches EOF
    Then the request is lost

  Scenario: A response without a length is completed by EOF
    Given a connection to a leaf with a pending request
    When the leaf sends a response without a length
    And the connection reaches EOF
    Then the response is accepted

  Scenario: A response without a length is not accepted after a reset
    Given a connection to a leaf with a pending request
    When the leaf sends a response without a length
    And the connection is reset
    Then the request is lost

  Scenario: A success response without a receipt is not accepted
    Given a connection to a leaf with a pending request
    When the leaf sends a response without a receipt
    Then the request is lost
    And the connection is closed

  Scenario: A refusal marked as not executed reports the request as not run
    Given a connection to a leaf with a pending request
    When the leaf refuses the request and marks it as not executed
    Then the request is not run

  # A leaf in trouble sends bytes until its caller closes; they must not fill the memory.
  Scenario Outline: An answer without end is given up: <part>
    Given a connection to a leaf with a pending request
    When the leaf sends <part> without end
    Then the request is lost
    And the connection is closed
    And at most 8 MiB were read

    Examples:
      | part                       |
      | a header line              |
      | header lines               |
      | interim responses          |
      | a body without a length    |
      | chunks                     |
      | a chunk size               |
      | trailers                   |
      | responses to other requests |

  # All leafs of a query over 90 shards send without end at the same time.
  Scenario: Many answers without end hold a bounded amount of memory
    Given 90 connections to leafs with a pending request each
    When all but one leaf send a body without a length without end
    Then their connections hold at most 33 MiB at any time
    And the remaining leaf's response is accepted

  Scenario: No truncated body and no response to another request is ever accepted
    Then for any truncated or altered bytes no cut body or other response is accepted

  Scenario Outline: A limit that a leaf states is read from each response of its own
    Given a connection to a leaf with a pending request
    When the leaf responds with status <status> and the limit <limit>
    Then the limit read is <read>

    Examples:
      | status | limit  | read       |
      | 200    | 12.5   | 12.5       |
      | 200    | 0      | 0          |
      | 500    | 3      | 3          |
      | 503    | 3      | 3          |
      | 200    | 1e300  | 1e300      |
      | 200    | -1     | unreadable |
      | 200    | nan    | unreadable |
      | 200    | inf    | unreadable |
      | 200    | 1e999  | unreadable |
      | 200    | twelve | unreadable |
      | 200    | absent | none       |

  Scenario: The limit of another leaf at the same address is not read
    Given a connection to a leaf with a pending request
    When the leaf responds with status 421 and the limit 3
    Then no limit is read

  Scenario: The limit in a response to another request is not read
    Given a connection to a leaf with a pending request
    When the leaf responds to another request with the limit 3 and closes
    Then no limit is read

  # One spoilt number made each later choice of a leaf raise: 500 for every request to the
  # service (review, case 3).
  Scenario Outline: A load that no leaf can have is not read
    Given a connection to a leaf with a pending request
    When the leaf responds with status 200 and the field X-Server-Load: <load>
    Then the load read is <read>

    Examples:
      | load         | read   |
      | 2,3,4        | 2,3,4  |
      | 0,0,0        | 0,0,0  |
      | 1e999,0,1    | none   |
      | -1,0,1       | none   |
      | 0,-7,1       | none   |
      | 9999999,0,1  | none   |
      | 0,9999999,1  | none   |
      | 0,0,9999999  | none   |
      | 1,2          | none   |
      | 2,3,4,130    | 2,3,4,1.3 |
      | 2,3,4,1      | 2,3,4,0.01 |
      | 2,3,4,0      | none   |
      | 2,3,4,-1     | none   |
      | 2,3,4,9999999 | none  |
      | 2,3,4,1e999  | none   |
      | 2,3,4,       | none   |
      | 2,3,4,100,1  | none   |

  # The choice of a leaf raised, or chose none any more, for what one answer had stated.
  Scenario: Whatever a leaf states in the headers of an answer, requests are served
    Then after any load, limit, rest and time to keep a connection other leafs serve

  # A leaf stopped in the middle of its head and closed: callers must not get a whole 200.
  Scenario: A response that ends before its head does is no answer, wherever it ends
    Then a response that ends anywhere in its head and is closed is no answer
    And one that ends there and is reset is no answer
    And one that ends anywhere in a body with a length is no answer
    And one that ends anywhere in a chunked body is no answer

  Scenario Outline: A leaf states in its responses that it leaves
    Given a connection to a leaf with a pending request
    When the leaf responds with status <status> and the field <field>
    Then the leaf is <read>

    Examples:
      | status | field             | read    |
      | 200    | Server-Leaving: 1 | leaving |
      | 500    | server-leaving: 1 | leaving |
      | 503    | Server-Leaving: 1 | leaving |
      | 200    | Server-Leaving: 0 | staying |
      | 200    | Server-Leaving:   | staying |
      | 200    | X-Other: 1        | staying |

  Scenario Outline: A leaf that refuses states how long it wants no requests
    Given a connection to a leaf with a pending request
    When the leaf responds with status <status> and the field <field>
    Then the leaf wants nothing for <rest_ms> ms

    Examples:
      | status | field                                      | rest_ms |
      | 503    | Retry-After: 2                             | 2000    |
      | 503    | Retry-After: 0.25                          | 250     |
      | 503    | Retry-After: 0                             | 0       |
      | 503    | Retry-After: -3                            | 0       |
      | 503    | Retry-After: nan                           | 0       |
      | 503    | Retry-After: inf                           | 0       |
      | 503    | Retry-After: Sat, 05 Dec 2026 02:00:00 GMT | 0       |
      | 503    | Retry-After: 1e12                          | 3600000 |
      | 200    | Retry-After: 2                             | 0       |
      | 429    | Retry-After: 2                             | 0       |

  # Guards against a head that is read without a check, as it is not the first one.
  Scenario: Each head is checked, wherever it begins and however data is split
    Then after an interim response or one to another request only valid heads count

  # Six bytes on the wire for each byte of body cost processor time that nothing bounded.
  Scenario Outline: An answer that costs much more than its body is given up soon: <part>
    Given a connection to a leaf with a pending request
    When the leaf sends <part> without end
    Then the request is lost
    And at most <limit> KiB were parsed

    Examples:
      | part                        | limit |
      | chunks of one byte          | 32    |
      | a chunk size                | 32    |
      | trailers                    | 32    |
      | interim responses           | 32    |
      | responses to other requests | 32    |
      | a body that is too long     | 32    |

  # Guards against a large answer that is cut short or never read on after a pause.
  Scenario: A large answer is read whole at the pace that is left for it
    Given a connection to a leaf with a pending request
    When the leaf sends 6 MiB in chunks while other answers use up the pace
    Then the whole body is accepted after more than 20 ms

  # Guards against an answer that is lost because its connection ended in a pause.
  Scenario: Data that came while a connection waits for the pace is not lost at its end
    Given a connection to a leaf with a pending request
    When the leaf sends 6 MiB to its end while other answers use up the pace
    Then the whole body is accepted at once

  # Guards against the rest of received data being taken for the next answer.
  Scenario: Bytes after a response are never read as the response to the next request
    Then however data is split, what follows a response is no answer to the next request
