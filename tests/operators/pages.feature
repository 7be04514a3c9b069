Feature: The operators' pages
  Scenario: The runbook
    # Guards against a refusal or a log message that no page explains.
    When the reasons of refusals and the log messages are collected from the code
    Then the runbook names each of them

  Scenario: The operators' page
    # Guards against a page whose commands don't exist or take other options.
    When the commands of docs/OPERATORS.md are collected
    Then the command line accepts each of them
