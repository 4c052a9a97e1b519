Feature: A leaf's answer that is not valid HTTP reaches no caller

  # Callers got the answer, with the status line "HTTP/1.1 0" for 000.
  Scenario: A status line that is not valid
    Given a daemon, and a service whose leafs are in trouble
    When its leafs answer with each of
      | status line                      |
      | HTTP/1.1 000 None                |
      | HTTP/1.1 001 None                |
      | HTTP/1.1 099 None                |
      | HTTP/1.1 600 None                |
      | HTTP/1.1 999 None                |
      | HTTP/1.1 20 None                 |
      | HTTP/1.1 0200 None               |
      | HTTP/1.1 +20 None                |
      | HTTP/1.1 2 0 None                |
      | HTTP/1.1 2\x010 None             |
      | HTTP/1.1 200 O\x01K              |
      | HTTP/1.1 101 Switching Protocols |
      | HTTP/2.0 200 OK                  |
      | HTTP/0.9 200 OK                  |
      | \r\nHTTP/1.1 200 OK              |
    Then the caller of each gets 502, and no query takes the answer as a part

  # The head before the answer was not valid, or the answer had neither id nor receipt.
  Scenario Outline: Interim answers, and answers without an id or a receipt: <a daemon>
    Given <a daemon>, and a service whose leafs are in trouble
    When its leafs answer with each of
      | status line                                                       |
      | HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK                           |
      | HTTP/1.1 100 Continue\r\nX-A: b\x01\r\n\r\nHTTP/1.1 200 OK          |
      | HTTP/1.1 100 Continue\r\nX-A: b\r\n\x20c\r\n\r\nHTTP/1.1 200 OK      |
      | HTTP/1.1 103 Early\r\nX\x20A: b\r\n\r\nHTTP/1.1 200 OK             |
    Then the caller of each gets 502, and no query takes the answer as a part
    When its leafs answer without an id and a receipt with each of
      | status line                                                       |
      | HTTP/1.1 000 None                                                 |
      | HTTP/1.1 999 None                                                 |
      | HTTP/1.1 503 None\r\nX-Not-Executed: 1\r\nX-A: b\x01               |
      | HTTP/1.1 503 None\r\nX-Not-Executed: 1\r\n\x20X-A: b               |
      | HTTP/1.1 421 None\r\nX-A: b\x01                                    |
      | HTTP/1.1 400 None\r\nX-A: b\x01                                    |
    Then the caller of each gets 502, and no query takes the answer as a part
    And no POST was sent to a second leaf

    Examples:
      | a daemon                      |
      | a daemon                      |
      | a daemon with a Python parser |

  # What follows in the other protocol was read as the answer.
  Scenario Outline: A change of protocol that nobody asked for: <a daemon>
    Given <a daemon>, and a service whose leafs are in trouble
    When its leafs answer with each of
      | status line                                             |
      | HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK |
    Then the caller of each gets 502, and no query takes the answer as a part

    Examples:
      | a daemon                      |
      | a daemon                      |
      | a daemon with a Python parser |

  # Callers got the answer, and the folded line as the end of its receipt.
  Scenario: A field name with a blank or a control byte, or none
    Given a daemon, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line    |
      | \x20X-A: b      |
      | \x09X-A: b      |
      | X-A: b\r\n\x20c |
      | \x20            |
      | X-A\x20: b      |
      | X\x20A: b       |
      | X\x09A: b       |
      | X\x00A: b       |
      | X\x01A: b       |
      | \x0bX-A: b      |
      | X-A\x1f: b      |
      | X\x7fA: b       |
      | X\x85A: b       |
      | X\xa0A: b       |
      | X\xe9A: b       |
      | : b             |
      | no colon        |
    Then the caller of each gets 502, and no query takes the answer as a part

  # The caller's connection ended without an answer; queries took the part.
  Scenario: A control byte in a field's value
    Given a daemon, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line |
      | X-A: b\x00   |
      | X-A: b\x01   |
      | X-A: b\x0b   |
      | X-A: \x1fb   |
      | X-A: b\x7f   |
      | X-A: b\rc    |
    Then the caller of each gets 502, and no query takes the answer as a part

  # Callers got 503, a promise that the request had not run.
  Scenario: What a head that is not valid states is not believed
    Given a daemon, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line                      |
      | X-Not-Executed: 1\r\nX-A: b\x01   |
      | X-Not-Executed: 1\r\n\x20X-A: b   |
      | X-Not-Executed: 1\r\nX-A: b\nc: d |
    Then the caller of each gets 502, and no query takes the answer as a part
    And no POST was sent to a second leaf

  # The caller got two fields where the leaf had stated one.
  Scenario: A line that ends with a bare line feed
    Given a daemon, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line      |
      | X-A: b\nX-C: d    |
      | X-A: b\n\nX-C: d  |
      | X-A: b\n\r\nX-C: d |
    Then the caller of each gets 502, and no query takes the answer as a part

  # Of two lengths, one reader of the library took the second; a coding was passed over.
  Scenario Outline: A head that states its body's length in two ways or unclearly: <a daemon>
    Given <a daemon>, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line                                        |
      | Content-Length: 16                                  |
      | Content-Length: 5                                   |
      | content-length : 5                                  |
      | Transfer-Encoding: gzip                             |
      | Transfer-Encoding: gzip, chunked                    |
      | Transfer-Encoding: chunked\r\nContent-Length: 16    |
    Then the caller of each gets 502, and no query takes the answer as a part

    Examples:
      | a daemon                      |
      | a daemon                      |
      | a daemon with a Python parser |

  Scenario Outline: Valid answers are passed on: <a daemon>
    Given <a daemon>, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line        |
      | X-A:                |
      | X-A:b               |
      | X-A: b\x09c         |
      | X-A: b\xc3\xa9      |
      | X-A: b: c           |
      | !#$%&'*+-.^_`~09: b |
      | Transfer-Encoding: chunked |
      | transfer-encoding:Chunked\x20 |
    Then the caller of each gets the leaf's status and body
    When its leafs answer with each of
      | status line          |
      | HTTP/1.1 200         |
      | HTTP/1.1 200\x20     |
      | HTTP/1.0 299 \xc3\xa9 |
      | HTTP/1.1 400 Any     |
      | HTTP/1.1 599 Any     |
    Then the caller of each gets the leaf's status and body

    Examples:
      | a daemon                      |
      | a daemon                      |
      | a daemon with a Python parser |

  # With one writer of the library the caller's connection ended without an answer, with
  # the other it got a value without that byte.
  Scenario Outline: A field that is not UTF-8 is left out: <a daemon>
    Given <a daemon>, and a service whose leafs are in trouble
    When its leafs answer with each of
      | further line |
      | X-A: b\xe9   |
      | X-A: \xffb   |
    Then the caller of each gets the leaf's status and body
    And no caller gets the field X-A

    Examples:
      | a daemon                      |
      | a daemon                      |
      | a daemon with a Python parser |

  # Where the head was read by itself, requests to the service were refused afterwards.
  Scenario Outline: What an answer with a broken body states is not believed: <line>
    Given a daemon, and a service whose leafs are in trouble
    When its leafs state <line> in answers whose body is broken, then answer soundly
    Then the caller gets the sound answer

    Examples:
      | line              |
      | Server-Leaving: 1 |
      | Server-Limit: 0   |

  # What a broken answer stated was believed.
  Scenario Outline: Others believe no answer with such a head either: <reader>
    When <reader> gets a sound answer, and answers with each of
      | further line   |
      | \x20X-A: b     |
      | X\x20A: b      |
      | X\x01A: b      |
      | X-A: b\x01     |
      | X-A: b\nX-C: d |
    Then only the sound answer is believed
    When <reader> gets a sound answer, and answers with each of
      | status line       |
      | HTTP/1.1 000 None |
      | HTTP/1.1 999 None |
      | HTTP/2.0 200 OK   |
    Then only the sound answer is believed

    Examples:
      | reader                      |
      | a read of the store         |
      | a watch of the store        |
      | a usage report              |
      | the command line            |
      | a check of a backend server |
      | a soak's caller             |
      | a link to a daemon          |
