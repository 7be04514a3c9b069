Feature: Settings of an entry host
  Every problem of a file is named at once, before the process starts.

  Scenario: A file with many faults
    # Guards against an error that hides the next one, and against a range that
    # is checked only when all types are right.
    When settings with a fault of each sort are checked
    Then each fault is named with its path, value and what is allowed

  Scenario: Values at the ends of their ranges
    # Guards against a setting without a range, and against ranges that refuse
    # their own ends.
    When each setting is set to the ends of its range and just beyond
    Then the ends are allowed and what lies beyond is refused by its path

  Scenario: The page of the settings
    # Guards against a page that differs from what the process checks.
    When docs/settings.md is compared with the types
    Then it lists every setting with its range, default and a reason
