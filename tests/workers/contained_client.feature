Feature: Errors in the client of one worker
  An error that concerns one worker stays with it; the owner and its other
  workers go on.

  Scenario: Polls of one of two workers raise an error while its tasks run
    # Guards against one worker whose responses raise an error that takes the
    # whole pool: its owner failed, was made again and failed.
    Given a platform fleet of 2 hosts and 2 workers
    And tasks run for 3 s
    When a job of 16 tasks is submitted
    And 1 s pass
    And calls to the worker i-1 raise an error
    And 25 s pass
    Then every host reports the job as completed
    And no invariant was violated on the workers
    And no owner has failed
    And the log names the error of the worker i-1 less than 10 times
    And the tasks of the worker i-1 started again after 6 s at the earliest

  Scenario: The error ceases
    # Guards against a worker that is given up for one error.
    Given a platform fleet of 2 hosts and 1 worker
    When calls to the worker i-0 raise an error
    And a job of 3 tasks is submitted
    And 2 s pass
    And calls to the worker i-0 raise no error
    And 5 s pass
    Then every host reports the job as completed
    And no owner has failed

  Scenario: The workers of one owner can't be updated
    # Guards against owners that never learn of their workers because the update
    # of another one raises an error, which also ended the process.
    Given a platform fleet of 2 hosts and 1 worker
    When updates of the first partition's owner raise an error
    And the worker's entry returns after it was missing
    And 2 s pass
    And a job of 3 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
    And no background task has ended
