Feature: Session of a command with the log
  A command decides on the whole log or not at all.

  Scenario: A log longer than one page
    # Guards against a change that is based on the first page alone.
    When a session opens on a log of 2500 records
    Then the session's state is at the end of the log

  Scenario: A platform that is down
    # Guards against a command that hangs or goes on from an empty state.
    When a session opens on a platform that is down
    Then there is no session and the reason names the last offset read
