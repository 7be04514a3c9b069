Feature: Command line
  The `chervillead` command, with exit statuses for programs.

  Scenario: Every command has a valid example
    # Guards against help that shows a removed option.
    When the help of every command is read
    Then each ends with an example that the command line accepts

  Scenario: Commands with a platform and an entry host
    # Guards against commands that aren't wired to the log or to the status
    # route, and against wrong exit statuses.
    Given a fleet of one entry host for the command line
    When operators run valid and invalid commands that show, publish and withdraw
    Then each command exits with the status of its outcome
    And the status of the entry host shows the change
