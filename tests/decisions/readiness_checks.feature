Feature: When the balancer moves callers away from a daemon that is not ready

  Scenario Outline: It moves them at the second failed check in a row
    Given readiness checks each second, the last <failed> of them failed
    Then <since_ms> ms after the last one callers are moved in <left_ms> ms

    Examples:
      | failed | since_ms | left_ms |
      | 0      | 0        | 2000    |
      | 0      | 300      | 1700    |
      | 1      | 300      | 700     |
      | 1      | 1500     | 0       |
      | 2      | 300      | 0       |

  Scenario: Without checks nothing is known
    Given no readiness checks
    Then 300 ms after the last one callers are moved in 0 ms
