Feature: One odd entry in the store does no harm to the others

  # Another writer left an odd entry: daemons ended, or no longer followed the kind.
  Scenario Outline: The other entries of a listing and of a watch are read
    Given a store whose listings and watches hold an entry of leaf-1 and one <odd>
    When its leafs are listed and watched
    Then leaf-1 is the only leaf listed and the only one reported by the watch
    And the watch goes on
    And what was read can be relayed

    Examples:
      | odd                              |
      | with a spec 100000 arrays deep   |
      | with a spec 100000 objects deep  |
      | with a spec 500 arrays deep      |
      | whose revision is 1e999          |
      | whose revision is text           |
      | with a number of 5000 digits     |
      | with 5000 digits as its revision |
      | without meta                     |
      | without a name                   |
      | whose name is a number           |
      | whose name has a line break      |
      | that is null                     |
      | that is a list                   |
      | without a spec                   |
      | whose port is out of range       |
      | whose host is no address         |
      | whose slots have 300 digits      |
      | that stays cold for 1e999 ms     |
      | that started at 10 to the 300    |
      | with bytes that are not UTF-8    |
      | with half of a surrogate pair    |
      | whose state is unknown           |

  Scenario: A listing that is cut short is not taken for a complete one
    Given a store whose listings end in the middle of an entry
    When its leafs are listed
    Then the listing has failed

  Scenario: An odd entry on the last place of a page does not end the listing
    Given a store whose listings hold a page of leaf-1 and one without a name, and a page of leaf-2
    When its leafs are listed
    Then leaf-1 and leaf-2 are listed

  Scenario Outline: An odd entry of another kind is refused by its decoder
    Then a <kind> whose <field> is <value> is refused

    Examples:
      | kind          | field      | value |
      | version order | duration_s | 1e999 |
      | version order | duration_s | list  |
      | configuration | version    | 1e999 |
      | configuration | routes     | 7     |

  # A number that no float can hold made each request that used it raise.
  Scenario Outline: A configuration with a number that none can mean is refused whole
    Then a configuration whose <place> has a <field> of <value> is refused

    Examples:
      | place   | field             | value      |
      | route   | timeout_ms        | NaN        |
      | route   | timeout_ms        | 1e999      |
      | route   | timeout_ms        | 400 digits |
      | route   | target_latency_ms | 1e999      |
      | route   | max_attempts      | 400 digits |
      | route   | priority          | 400 digits |
      | service | max_conns         | 400 digits |
      | service | max_conns         | 1e999      |
      | service | cold_start_s      | NaN        |
      | service | warmup_per_s      | 1e999      |
      | limits  | max_body_bytes    | 400 digits |
      | limits  | idle_timeout_ms   | 1e999      |

  # A follower's task ended by an error that nobody awaited, and it followed nobody.
  Scenario: A relayed frame with a number too large is malformed
    Then a relayed confirmation of version 1e999 is refused
    And a relayed listing whose object has a revision of 1e999 is refused

  # An address that no connection can be opened to ended the follower's task, and a
  # capacity beyond any VM's made its daemon the only coordinator.
  Scenario Outline: An odd entry in the registry is no daemon
    Then an entry of the registry whose <field> is <value> is no daemon
    And the same entry without odd fields is one

    Examples:
      | field      | value            |
      | port       | 70000            |
      | port       | 0                |
      | port       | true             |
      | host       | "hoßt x"         |
      | host       | "store.example"  |
      | zone       | ""               |
      | query_port | 70000            |
      | query_port | true             |
      | legs_per_s | 1e999            |
      | legs_per_s | -1e999           |
      | legs_per_s | NaN              |
      | legs_per_s | -5               |
      | legs_per_s | 1e300            |
      | legs_per_s | true             |
      | legs_per_s | "9"              |

  # The task of the connection ended, and its daemon followed nobody any more.
  Scenario Outline: A connection between daemons that fails unexpectedly ends in order
    When a daemon <connects> and <fault>
    Then the connection has ended once, with a log line

    Examples:
      | connects    | fault                              |
      | follows     | the port is 70000                  |
      | delegates   | the port is 70000                  |
      | follows     | handling a message raises an error |
      | delegates   | handling a message raises an error |

  # A body of the store was read whole, whatever its size.
  Scenario: A listing without end is given up
    Given a store whose listings never end
    When its leafs are listed
    Then the listing has failed
    And at most 64 MiB of it were sent
