Feature: The key of a request names its organisation

  # One organisation's requests would be counted for another, or served without a key.
  Scenario: A key names the organisation that holds it, any other text names none
    Then for any organisations each key is found, and no other text is

  Scenario: Two organisations with one key are refused, and the error does not show it
    Then a table of two organisations that hold one key is refused

  # A list that is empty means that nobody has access, not that everybody has.
  Scenario Outline: With <organisations> and a <key> a caller is <identity> on a <route> route
    Then with <organisations> and a <key> a caller is <identity> on a <route> route

    Examples:
      | organisations       | key         | identity       | route   |
      | no organisations    | wrong key   | Unchecked      | private |
      | an empty list       | wrong key   | Unauthorized   | private |
      | an empty list       | wrong key   | Anonymous      | public  |
      | two organisations   | missing key | Unauthorized   | private |
      | two organisations   | wrong key   | Unauthorized   | private |
      | two organisations   | missing key | Anonymous      | public  |
      | two organisations   | valid key   | OfOrganisation | private |
      | two organisations   | valid key   | OfOrganisation | public  |

  # Urgent organisations would wait behind bulk ones, priority 0 above all.
  Scenario Outline: An organisation's priority takes precedence over the route's
    Then a route of priority 2 and an organisation of priority <own> give <effective>

    Examples:
      | own  | effective |
      | null | 2         |
      | 0    | 0         |
      | 5    | 5         |

  # Half-read organisations would lock out some callers or let in others.
  Scenario Outline: Malformed organisations refuse the whole configuration
    When a configuration is read whose <field> is <value>
    Then it is refused with a reason that names <place>
    And the configuration in force stays and no key is shown

    Examples:
      | field   | value                                                                 | place                  |
      | tenants | {"name": "k-1"}                                                       | tenants                |
      | tenants | ["k-1"]                                                               | tenants[0]             |
      | tenants | [{"api_keys": ["k-1"]}]                                               | tenants[0].name        |
      | tenants | [{"name": "", "api_keys": ["k-1"]}]                                   | tenants[0].name        |
      | tenants | [{"name": "a\r\nb", "api_keys": ["k-1"]}]                             | tenants[0].name        |
      | tenants | [{"name": "b "}]                                                      | tenants[0].name        |
      | tenants | [{"name": "a"}, {"name": "a", "api_keys": ["k-1"]}]                   | tenants[1].name        |
      | tenants | [{"name": "a", "api_keys": "k-1"}]                                    | tenants[0].api_keys    |
      | tenants | [{"name": "a", "api_keys": ["k-2", ["k-1"]]}]                         | tenants[0].api_keys[1] |
      | tenants | [{"name": "a", "api_keys": [""]}]                                     | tenants[0].api_keys[0] |
      | tenants | [{"name": "a", "api_keys": ["k-1"]}, {"name": "b", "api_keys": ["k-1"]}] | tenants[1].api_keys[0] |
      | tenants | [{"name": "a", "priority": true}]                                     | tenants[0].priority    |
      | tenants | [{"name": "a", "priority": -1}]                                       | tenants[0].priority    |
      | public  | "false"                                                               | public                 |

  # A reason would carry a key into the log, or an odd value end the daemon.
  Scenario: Whatever the organisations are, they are decoded or refused without a key
    Then any value of the organisations is decoded or refused, and no reason shows a key
