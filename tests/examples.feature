Feature: The examples
  # Guards against an example that the library no longer runs.

  Scenario: A fold of one's own records
    When docs/examples/fold_records.py is run
    Then the example prints five accepted records and a refusal by the budget

  Scenario: A limit shared by two dispatchers
    When docs/examples/escrowed_limit.py is run
    Then the example prints units that always add up to the limit

  Scenario: A client for callers
    When docs/examples/caller_client.py is run
    Then the example prints three attempts under one id and the answer
