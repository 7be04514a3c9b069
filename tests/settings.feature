Feature: Settings of an entry host
  All problems of a file are reported together, before the process starts.

  Scenario: A file with several errors
    # Guards against an error that hides the next one, and against ranges that
    # are checked only when all types are valid.
    When settings with an error of each kind are checked
    Then each error is reported with its path, value and what is allowed

  Scenario: Values at the limits of their ranges
    # Guards against a setting without a range, and against ranges that reject
    # their own limits.
    When each setting is set to the limits of its range and just beyond
    Then the limits are accepted and the values beyond are rejected by path

  Scenario: The documentation of the settings
    # Guards against documentation that differs from what the process checks.
    When docs/settings.md is compared with the types
    Then it lists every setting with its range, default and a reason
