Feature: The start of an entry daemon

  # After a loss of power of all VMs, callers wait for the processes to start.
  Scenario: The imports load no certificates and cause no collections
    When the modules of an entry daemon are imported as its program does
    Then 0 certificates are loaded
    And no collection has run since
    And neither "aiohttp.web" nor "snipemount.settings" is imported
