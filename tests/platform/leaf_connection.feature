Feature: An answer belongs to its request, and nothing else is taken for it

  Scenario: A whole answer is taken and the connection is used again
    Given a connection to a leaf with a request under way
    When the leaf answers the request whole
    Then the answer is taken
    And the connection is idle

  Scenario: An answer in pieces
    Given a connection to a leaf with a request under way
    When the leaf answers the request byte by byte
    Then the answer is taken
    And the connection is idle

  Scenario: An answer to another request is passed over, and the connection is not used again
    Given a connection to a leaf with a request under way
    When an answer to another request arrives
    And the leaf answers the request whole
    Then the answer is taken
    And the connection is closed

  Scenario: An answer to another request alone is no answer
    Given a connection to a leaf with a request under way
    When an answer to another request arrives
    And the connection ends in good order
    Then the request is lost

  Scenario: A second answer behind the first one
    Given a connection to a leaf with a request under way
    When the leaf answers the request twice at once
    Then the answer is taken
    And the connection is closed

  Scenario: Bytes that nobody waits for end the connection
    Given a connection to a leaf with a request under way
    When the leaf answers the request whole
    And an answer to another request arrives
    Then the connection is closed

  Scenario: A connection that is closed makes room at once
    Given a connection to a leaf with a request under way
    When the leaf answers the request whole
    And the connection is closed by us
    Then the pool was told before the loop's next turn

  Scenario: An answer that breaks off is no answer
    Given a connection to a leaf with a request under way
    When the leaf answers half of the request's answer
    And the connection ends in good order
    Then the request is lost

  Scenario: An answer without a length ends with the connection
    Given a connection to a leaf with a request under way
    When the leaf answers without a length
    And the connection ends in good order
    Then the answer is taken

  Scenario: An answer without a length whose connection is reset is no answer
    Given a connection to a leaf with a request under way
    When the leaf answers without a length
    And the connection is reset
    Then the request is lost

  Scenario: A success without a receipt is no success
    Given a connection to a leaf with a request under way
    When the leaf answers without a receipt
    Then the request is lost

  Scenario: A true refusal
    Given a connection to a leaf with a request under way
    When the leaf refuses and says that it did not run the request
    Then the request is not run

  Scenario: Any bytes: an answer is taken only if it is the leaf's whole answer
    Then for any cut or change of an answer's bytes nothing but the whole answer is taken
