Feature: Documentation pages for operators
  Scenario: The runbook
    # Guards against rejection reasons and log events that no page explains.
    When the rejection reasons and log events are collected from the code
    Then the runbook explains each of them

  Scenario: The operators' page
    # Guards against documented commands that don't exist or have other options.
    When the commands of docs/OPERATORS.md are collected
    Then the command line accepts each of them
