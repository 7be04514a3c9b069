Feature: What an accepted job is owed
  Limit of attempts, priority, target and advice are those under which a job was
  accepted, whatever a host knows of its queue later.

  Scenario: The queue of a failing job is removed
    # Guards against a task that fails and runs again without an end, since the
    # limit of attempts went with the queue.
    Given a platform fleet of 2 hosts and 4 workers
    When a job of 1 task that always fails is submitted
    And operators remove its queue
    And 10 s pass
    Then the task ran 3 times
    And the owner takes the job as failed

  Scenario: The queue is removed and the owner is killed
    # Guards against a limit that is lost in a hand-over, or by a new owner with
    # another configuration.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 1 task that always fails is submitted
    And operators remove its queue
    And the owner is killed
    And 12 s pass
    Then the task ran 3 times
    And the owner takes the job as failed

  Scenario: The queue allows fewer attempts in a later configuration
    # Guards against a job that fails by terms under which it wasn't accepted.
    Given a platform fleet of 2 hosts and 4 workers
    When a job of 1 task that always fails is submitted
    And operators allow jobs of its queue 1 attempt
    And 10 s pass
    Then the task ran 3 times
    And the owner takes the job as failed

  Scenario: A job of an earlier build whose queue is removed later
    # Guards against jobs without stored terms that lose their limit, although an
    # owner has seen their queue.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 1 task that always fails is submitted
    And an earlier build has stored the job and its owner is killed
    And 1 s pass
    And operators remove its queue
    And the owner is killed
    And 14 s pass
    Then the task ran 3 times
    And the owner takes the job as failed

  Scenario: A job of an earlier build whose queue was removed before
    # Guards against a task without any limit of attempts.
    Given a platform fleet of 3 hosts and 4 workers
    When a job of 1 task that always fails is submitted
    And operators remove its queue
    And an earlier build has stored the job and its owner is killed
    And 14 s pass
    Then the task ran 3 times
    And the owner takes the job as failed

  Scenario: Terms without a job
    # Guards against records that stay for good, since nothing deletes them.
    Given a platform fleet of 3 hosts and 3 workers
    When a job of 2 tasks is submitted
    And terms of another job are stored without it
    And the owner is killed
    And 5 s pass
    Then every host reports the job as completed
    And only the job's own terms are stored

  Scenario: Earlier builds read the records of a job
    # Guards against a spec or progress with more fields than the builds before
    # can decode, while both own partitions during a rolling restart.
    When a job is encoded
    Then its spec has 8 fields and its progress 4 with 5 for each task

  Scenario: The owner doesn't know the queue of a submission yet
    # Guards against a job that is accepted without terms.
    Given an owner whose configuration lacks the queue
    When a job is submitted with 1 s to wait
    Then the submission is refused as not-run with status 503
