Feature: The platform's protocol is encoded and decoded in one package only

  Scenario: No module outside platform/ contains a name of the platform's protocol
    Then no module outside the folder contains a name of the platform's protocol

  Scenario: A directory entry is refused or decoded as written
    Then an entry with any one field replaced is refused or decoded as written

  Scenario: The settings file is parsed and checked
    Then a settings file is parsed into typed fields
    And requests are admitted by load only if the list of contracts has pressure
    And a settings file without node_name is refused with an error that names the field

  # Guards against a lease or a window without length, which ends the process at its start
  # with a traceback, and against more windows than the store keeps.
  Scenario Outline: Settings of a duty are refused that it cannot be performed with
    Then a settings file with a duty and <line> is refused, naming <key>

    Examples:
      | line                        | key                    |
      | bounds.lease_ms=0           | bounds.lease_ms        |
      | bounds.lease_ms=-3000       | bounds.lease_ms        |
      | bounds.lease_ms=0.5         | bounds.lease_ms        |
      | bounds.lease_ms=600001      | bounds.lease_ms        |
      | bounds.lease_ms=nan         | bounds.lease_ms        |
      | bounds.report_window_s=0    | bounds.report_window_s |
      | bounds.report_window_s=-5   | bounds.report_window_s |
      | bounds.report_window_s=inf  | bounds.report_window_s |
      | bounds.report_window_s=0.1  | bounds.report_window_s |
      | bounds.usage_late_s=0       | bounds.usage_late_s    |
      | cloud_api.duty_per_s=-1     | cloud_api.duty_per_s   |
      | limits.memory_mb=nan        | limits.memory_mb       |
      | limits.max_fds=-1           | limits.max_fds         |
      | limits.body_stall_ms=0      | limits.body_stall_ms   |
