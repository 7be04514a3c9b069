Feature: Entry hosts on the platform as processes
  The daemon starts lean, serves callers over TCP and stops when it is told to.

  Scenario: A job of two steps runs through real processes
    # Guards against wiring that only works in memory, a start that takes too
    # long after a restart, and a stop that hangs or fails.
    When three entry hosts on the platform run a job of two steps
    Then the job is completed in 6 runs
    And each host started with under 1 s of processor time and 100 MB
    And every process ended with status 0
