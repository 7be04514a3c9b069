Feature: The examples
  Scenario: A fold of one's own records
    # Guards against an example that the library no longer runs.
    When docs/examples/fold_records.py is run
    Then the example prints five accepted records and a refusal by the budget
