Feature: Persistent mappings
  A changed copy of a mapping behaves like a changed copy of a dictionary.

  Scenario: Random changes match a dictionary
    # Guards against a change that is visible in an earlier copy, and against an
    # order that depends on when changes were merged.
    When hypothesis applies the same changes to persistent maps and dictionaries
    Then each copy equals its dictionary in content and order
