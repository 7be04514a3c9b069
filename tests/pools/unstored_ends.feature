Feature: What callers are told about a job before the store has confirmed it
  An answer that callers rely on must hold for the next owner, too, which knows
  only what is stored and what workers still report.

  Scenario: A job ends while the store rejects its owner
    # Guards against a job that is reported as completed and then runs again: its
    # end is known only to the owner and to a worker that crashes.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 1 s
    When a job of 1 task is submitted
    And the store rejects the owner
    And all hosts are asked for the job for 1.1 s
    And the worker of the run is lost for good
    And all hosts are asked for the job for 10 s
    Then no task started after the job was reported as completed
    And every host reports the job as completed

  Scenario: A job is cancelled after an end that the store has not confirmed
    # Guards against a cancellation that is confirmed for a job which then runs
    # again.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 1 s
    When a job of 1 task is submitted
    And the store rejects the owner
    And its run has ended
    And the job is cancelled
    And the worker of the run is lost for good
    And 10 s pass
    Then no task started after its cancellation was accepted

  Scenario: A job is cancelled once its end is stored
    # Guards against cancellations that are refused although nothing is left to
    # be stored.
    Given a platform fleet of 3 hosts and 3 workers
    When a job of 1 task is submitted
    And its run has ended
    And the job is cancelled
    Then the first call is accepted
    And the job's cancellation is accepted
    And every host reports the job as completed

  Scenario: A store that takes a while confirms the end of a job
    # Guards against callers who are told that a job runs, and have to ask again,
    # although its end is about to be stored.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 1 s
    When a job of 1 task is submitted
    And the store takes 200 ms for an append
    And its run has ended
    And the owner is asked for the job
    Then the answer is completed

  Scenario Outline: A caller asks while an end waits for the store
    # Guards against an end that is shown before it is stored, and against a
    # caller who waits for a store that is known to be away.
    Given an owner whose store <store>
    When its job <ends> and a caller asks <delay> s later
    Then the caller is told that the job is <phase> within <limit> s

    Examples:
      | store                      | ends          | delay | phase     | limit |
      | answers after 0.2 s        | is completed  | 0     | completed | 0.25  |
      | answers after 0.2 s        | has failed    | 0     | failed    | 0.25  |
      | answers after 0.2 s        | is cancelled  | 0     | cancelled | 0.25  |
      | answers after 0.01 s       | is completed  | 0.1   | completed | 0     |
      | answers after 5 s          | is completed  | 0     | running   | 0.5   |
      | answers after 5 s          | has failed    | 0     | running   | 0.5   |
      | answers after 5 s          | is cancelled  | 0     | running   | 0.5   |
      | rejects every append       | is completed  | 0.1   | running   | 0     |

  Scenario: A replaced owner had an end that was not stored
    # Guards against an owner that reports an end whose record was fenced.
    Given an owner whose store fences every append
    When its job is completed and a caller asks 0.1 s later
    Then the caller is told that the job is running within 0 s
