Feature: Jobs of many tasks
  A job may have more tasks than one record of the store can describe.

  Scenario: A job of 600 tasks whose progress exceeds a record
    # Guards against ends, cancels and submissions of a pool that are never
    # confirmed, as the progress of one job is longer than a record may be.
    Given a platform fleet of 3 hosts and 3 workers
    And records of the fleet may have at most 4096 bytes
    And tasks run for 20 s
    When a job of 550 tiny tasks, of which the last 50 run for 1 s, is submitted
    And another job is submitted and cancelled 3 s later
    And 40 s pass
    Then every host reports the job as completed
    And the cancel was confirmed within 1 s
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The owner of such a job is killed while it runs
    # Guards against tasks that run again, as some part of the progress was read
    # wrongly or not at all.
    Given a platform fleet of 3 hosts and 3 workers
    And records of the fleet may have at most 4096 bytes
    And tasks run for 2 s
    When a job of 600 tiny tasks is submitted
    And 2 s pass
    And the owner is killed
    And 25 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers

  Scenario: The records of a job are deleted with it
    # Guards against parts of progress that stay in the store for ever.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 0.5 s
    When a job of 300 tiny tasks is submitted
    And 200 s pass
    Then the store has no record of the job

  Scenario: A job is submitted while the starts of a large one are being sent
    # Guards against tasks that wait for seconds behind thousands of starts that
    # were queued for the same worker, beside others that are free.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 30 s
    When workers take 50 ms for a start
    And a job of 1500 minute tasks is submitted
    And 1 s pass
    And another job is submitted
    And 40 s pass
    Then the other job began within 3 s
    And no invariant was violated on the workers
