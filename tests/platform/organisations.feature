Feature: Callers need a key, and leafs are told the organisation and nothing else

  # Leafs would serve anybody, trust a name that a caller made up, or read keys.
  Scenario Outline: A "<route>" request with <headers> is answered <status>, leafs are told <told>
    Given a caller interface over leafs that record what they receive
    And a configuration of version 2 in which acme holds k-acme and "split" is public
    When a "<route>" request with <headers> is read
    Then it is answered <status>
    And leafs are told <told>
    And no leaf or log line has a key

    Examples:
      | route | headers                                                     | status | told    |
      | look  | Authorization: Token k-acme                                 | 200    | acme    |
      | look  | x-tenant: other; authorization: token k-acme; X-Tenant: two | 200    | acme    |
      | find  | Authorization: Token k-acme; X-Tenant: other                | 200    | acme    |
      | look  | X-Tenant: acme                                              | 401    | nothing |
      | look  | Authorization: Token k-wrong                                | 401    | nothing |
      | look  | Authorization: Bearer k-acme                                | 401    | nothing |
      | look  | Authorization: Token k-acme; Authorization: Token k-wrong   | 401    | nothing |
      | split | Authorization: Token k-wrong; X-Tenant: acme                | 200    | nobody  |
      | split | Authorization: Token k-acme                                 | 200    | acme    |
      | none  | Authorization: Token k-wrong                                | 404    | nothing |

  # A caller could not tell a missing key from a fault, or an operator find the cause.
  Scenario: A request without a valid key is answered and logged under its id
    Given a caller interface over leafs that record what they receive
    And a configuration of version 2 in which acme holds k-acme and "split" is public
    When a "look" request with X-Tenant: acme is read
    Then the answer names the request and the scheme
    And one line and one count say "unauthorized" for route "look"

  # A withdrawn key would be valid as long as its caller keeps the connection open.
  Scenario: A key that is withdrawn is refused on an open connection, and stays refused
    Given a caller interface over leafs that record what they receive
    And a configuration of version 2 in which acme holds k-acme and "split" is public
    When a "look" request with Authorization: Token k-acme is read
    Then it is answered 200
    When a configuration of version 4 in which acme holds k-new and "split" is public
    And a "look" request with Authorization: Token k-acme is read
    Then it is answered 401
    When a configuration of version 3 in which acme holds k-acme and "split" is public
    And a "look" request with Authorization: Token k-acme is read
    Then it is answered 401
    When a "look" request with Authorization: Token k-new is read
    Then it is answered 200

  # A caller of a daemon that has just started would take its key for invalid.
  Scenario: Before the first configuration a request is refused, not unauthorized
    Given a caller interface without a configuration
    When a "look" request with Authorization: Token k-acme is read
    Then it is answered 503

  # Earlier deployments use both headers for purposes of their own.
  Scenario: Without organisations a request is forwarded byte for byte, in its order
    Given a caller interface over leafs that record what they receive
    When a "look" request with A: 1; Authorization: Basic k-x; B: 2; x-tenant: own is read
    Then it is answered 200
    And a leaf received "A: 1|Authorization: Basic k-x|B: 2|x-tenant: own|X-Deadline"
    And for any headers of a caller those that are forwarded keep their order

  # The parser's error quotes the header that it could not read.
  Scenario: A malformed header with a key is not logged
    Given a caller interface over leafs that record what they receive
    When a "look" request with Authorization: Token k-acme%01 is read
    Then it is answered 400
    And no leaf or log line has a key
