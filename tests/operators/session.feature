Feature: Session of a command with the log
  A command runs only if it has read the whole log.

  Scenario: A log longer than one page
    # Guards against a change that is based on the first page only.
    When a session opens on a log of 2500 records
    Then the session's state is at the end of the log

  Scenario: A platform that is down
    # Guards against a command that hangs or continues with an empty state.
    When a session opens on a platform that is down
    Then no session opens and the error names the last offset read
