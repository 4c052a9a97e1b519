Feature: Codecs round-trip their messages and refuse malformed input

  Scenario: Messages between daemons are unchanged by encoding and decoding
    Then any list of messages is equal after encoding and decoding

  Scenario: The mesh decoder raises no other error than DecodeError
    Then any bytes are decoded as a frame or refused

  Scenario: The caller decoder raises no other error than RequestError
    Then any body is decoded as a caller's request or refused

  Scenario: The backend decoder refuses truncated answers and those to other exchanges
    Then any backend answer is decoded, and refused when truncated or to another exchange
