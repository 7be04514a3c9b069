Feature: Placement passes
  A pass after an event looks only at jobs and workers that may match. It must
  start what a look at all of them would.

  Scenario: No task waits that could run
    # Guards against a task that waits beside free room, since a pass skipped it
    # or ended early.
    When 150 random sequences of events reach the owner of a pool
    Then after each pass no waiting task fits on any worker
    And no worker holds more than its capacity
