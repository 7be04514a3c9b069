Feature: Counters and indexes that replace scans
  The owner of a partition keeps loads and room by increments. Their values must
  be those of a scan of all runs, workers and jobs.

  Scenario: The index of room chooses what a scan of all workers chooses
    # Guards against a placement that depends on how workers are looked up.
    When 300 random tasks are placed by the index and by a scan
    Then both choose the same worker each time

  Scenario: The load of a worker is the sum of its runs
    # Guards against room that leaks as runs come and go.
    When 300 random sequences of runs start and end on a worker
    Then its load always equals the sum of its runs

  Scenario: Only finished jobs leave the unfinished ones
    # Guards against an accepted job that is never placed again.
    When 300 random sequences of ends and cancels reach some jobs
    Then the unfinished jobs are always those with work left

  Scenario: Waiting jobs are kept in the order of their sort keys
    # Guards against jobs that start late because the order isn't kept.
    When 300 random sequences of jobs wait, go on and leave
    Then they are always in the order of their sort keys
    And no task that may start needs less than the least need
