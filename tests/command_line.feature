Feature: The command line
  One command for the operators, with an exit status for programs.

  Scenario: Every command has an example that fits it
    # Guards against help that shows an option which is gone.
    When the help of every command is read
    Then each ends with an example that the command line accepts

  Scenario: Work against a platform and an entry host
    # Guards against a command that isn't wired to the log or to the status
    # route, and against a wrong exit status.
    Given a fleet of one entry host for the command line
    When operators show, publish, repeat and withdraw, rightly and wrongly
    Then each command ends with the status that its outcome asks for
    And the status of the entry host shows the change
