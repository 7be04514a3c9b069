Feature: A queue that operators assign to another pool
  A job is accepted in one partition only, whatever hosts know of its queue.

  Scenario: A queue moves under load while owners are replaced
    # Guards against a submission that two pools accept, by an order of calls,
    # losses and new versions that nobody thought of.
    When a queue is moved under load in 60 random runs
    Then no job is stored in two partitions
    And every job whose caller was told so is stored
    And no job is stored whose submissions were all refused as not run
    And the runs met all that can refuse a submission of a queue that moves

  Scenario Outline: The check detects owners with an error
    # Guards against a check that can't fail.
    Given owners that <fault>
    When a queue is moved under load in 60 random runs
    Then some job is stored in two partitions

    Examples:
      | fault                                        |
      | know only the jobs of their partition        |
      | close a queue without a record               |
      | ask by what is registered before them        |
      | don't say which jobs they have               |

  Scenario Outline: A submission is repeated after its queue has moved
    # Guards against a host that takes the repeat of an accepted submission for a
    # new one, as it hasn't seen the configuration that the first one followed.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 12 s
    And the second worker belongs to another pool
    When a job of 2 tasks is submitted
    And operators <change>
    And <meanwhile>
    And 4 s pass
    And the same job is submitted through every host
    And 1 s pass
    Then every host reports the job as running
    And each task ran once
    And no invariant was violated on the workers

    Examples:
      | change                                                      | meanwhile                       |
      | assign the queue to the other pool                          | all hosts are killed and restarted |
      | assign the queue to the other pool                          | the owner is killed             |
      | assign the queue to the other pool under another name       | 1 s pass                        |
      | assign the queue to the other pool, and back under its name | all hosts are killed and restarted |

  Scenario: The earlier owner can't be asked
    # Guards against an owner that accepts a job although another one, which it
    # can't reach, may hold it; and against callers who wait for that in vain.
    Given a platform fleet of 3 hosts and 3 workers
    And the second worker belongs to another pool
    When a job of 2 tasks is submitted
    And operators assign the queue to the other pool
    And the host that owns the first pool stops answering the others
    And another job is submitted to the other pool
    Then the call is refused with status 503 as not-run
    And the refusal came within 2.1 s of its submission

  Scenario Outline: Jobs that wait are counted after their queue has moved
    # Guards against a count of pending jobs without those of the earlier pool.
    Given a platform fleet of 3 hosts and 2 workers
    And the second worker belongs to another pool
    When all workers that are on crash and do not restart
    And 4 jobs are accepted
    And operators assign the queue to the other pool
    And <meanwhile>
    And 4 s pass
    Then every host counts 4 pending jobs

    Examples:
      | meanwhile                          |
      | 1 s pass                           |
      | all hosts are killed and restarted |
