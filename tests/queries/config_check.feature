Feature: Operators check a configuration before they send it

  # A check that reports sound configurations is ignored when it matters.
  Scenario: Sound configurations have no findings
    Then any routes with different hosts or prefixes are checked without a finding

  Scenario Outline: A fault is not reported, at another place, or with others: <line>
    When a sound configuration is checked with <field> set to <value>
    Then the check prints only "<line>" and exits with status <status>

    Examples:
      | field                                   | value          | status | line |
      | routes.0.timeout_ms                     | 0              | 1 | error: routes[0].timeout_ms: 0: must be above 0 |
      | routes.0.priority                       | -1             | 1 | error: routes[0].priority: -1: must be at least 0 |
      | routes.0.host                           | 5              | 1 | error: routes[0].host: 5: must be a string |
      | routes.2.top_k                          | 0              | 1 | error: routes[2].top_k: 0: must be at least 1 |
      | routes.1.weighted_backends.0.weight     | -1             | 1 | error: routes[1].weighted_backends[0].weight: -1: must be at least 0 |
      | limits.max_body_bytes                   | -1             | 1 | error: limits.max_body_bytes: -1: must be above 0 |
      | routes.0.path_prefix                    | "/a"           | 2 | warning: routes[0].path_prefix: '/a': matches no path: it must begin and end with a slash |
      | routes.0.backend                        | "x"            | 2 | warning: routes[0].backend: 'x': is not among the services that the configuration lists |
      | routes.1.weighted_backends.1.backend    | "x"            | 2 | warning: routes[1].weighted_backends[1].backend: 'x': is not among the services that the configuration lists |
      | routes.2.gather.1                       | "x"            | 2 | warning: routes[2].gather[1]: 'x': is not among the services that the configuration lists |
      | routes.2.gather.1                       | "s0"           | 2 | warning: routes[2].gather[1]: 's0': is named twice: position 0 has it too |
      | routes.1.weighted_backends.1.weight     | 0              | 2 | warning: routes[1].weighted_backends[1].weight: 0: 's1' gets no requests of the route |
      | routes.0.target_latency_ms              | 3000           | 2 | warning: routes[0].target_latency_ms: 3000: is longer than the timeout of 2000 ms |
      | routes.2.min_coverage                   | 1.5            | 2 | warning: routes[2].min_coverage: 1.5: needs more shards than the 2 of the route |
      | routes.2.min_coverage                   | 0              | 2 | warning: routes[2].min_coverage: 0: needs no shard: the answer of a single one is sufficient |
      | routes.1.name                           | "a"            | 2 | warning: routes[0].name: 'a': is the name of position 1 too; names must be unique |
      | version                                 | 6              | 2 | warning: version: 6: is not newer than 6, the version in force |

  Scenario: A route that another one replaces is named, whatever the case of its host
    When a sound configuration is checked with a first route that has host and prefix of the second
    Then the check prints only "warning: routes[0].path_prefix: '/a/b/': position 1 has the same host and prefix, and is used" and exits with status 2

  Scenario: Of a split route with no weight at all only that is reported
    When a sound configuration is checked with all weights 0
    Then the check prints only "warning: routes[1].weighted_backends[0].weight: 0: all weights are 0, so 's0' gets every request" and exits with status 2

  Scenario Outline: A file that no daemon would take is passed or ends the command: <text>
    When a file with <text> is checked
    Then the check prints an error with "<reason>" and exits with status 1

    Examples:
      | text                                     | reason                                      |
      | nothing                                  | No such file                                |
      | {                                        | line 1 column                               |
      | []                                       | a value of type list is no object           |
      | {"version": 1}                           | the field 'routes' is missing               |
      | {"version": 1, "routes": [{"host": "h"}]} | routes[0]: the field 'timeout_ms' is missing |
      | {"version": "x"}                         | version: invalid literal                    |
      | {"version": 1, "routes": [{"name": "r", "timeout_ms": "soon"}]} | routes[0]: timeout_ms: could not convert string to float: 'soon' |
      | {"version": 1, "routes": [], "tenants": [{"name": ""}]} | tenants[0].name: '' is empty |

  Scenario: Differences are missed, or reported as findings
    When a changed configuration is checked against the one in force
    Then the check lists each difference and exits with status 0

  # Reports are pasted into tickets and chats.
  Scenario: An API key is printed
    Then no report on any organisations, sound or malformed, contains one of their keys
