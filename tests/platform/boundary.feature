Feature: One folder speaks the platform's words

  Scenario: Nothing outside platform/ names a field, kind or header of the wire
    Then no module outside the folder holds a word of the platform's wire

  Scenario: Documents of other writers are refused, and only they
    Then any change of type in an entry's field is refused or read as written

  Scenario: The settings file is checked
    Then a settings file is read with its fields typed
    And a settings file without node_name is refused with the name of the field
