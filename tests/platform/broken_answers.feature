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
