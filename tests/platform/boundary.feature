Feature: The platform's protocol is encoded and decoded in one package only

  Scenario: No module outside platform/ contains a name of the platform's protocol
    Then no module outside the folder contains a name of the platform's protocol

  Scenario: A directory entry is refused or decoded as written
    Then an entry with any one field replaced is refused or decoded as written

  Scenario: The settings file is parsed and checked
    Then a settings file is parsed into typed fields
    And requests are admitted by load only if the list of contracts has pressure
    And a settings file without node_name is refused with an error that names the field
