Feature: Worker health
  Faulty workers are told apart from faulty jobs and get no tasks.

  Scenario: A worker that fails tasks of several jobs gets one probe at a time
    # Guards against a black-hole worker, which fails tasks at once and so always
    # has room for every task of a burst.
    Given a worker on which tasks of 2 jobs have just failed
    Then the worker is not schedulable
    And after 2 s the worker is schedulable only while it is idle

  Scenario: A suspect worker that completes a task is healthy again
    # Guards against a worker that is never used again.
    Given a worker on which tasks of 2 jobs have just failed
    When a task on it completes
    Then the worker is schedulable

  Scenario: A faulty job doesn't count against several workers
    # Guards against healthy workers being excluded by a job that always fails.
    Given a job whose tasks fail on every worker
    Then the failure counts only against the first worker

  Scenario Outline: A slow worker is used last
    # Guards against tasks on a slow worker while others have room.
    Given a worker whose tasks take <factor> times the usual duration
    Then its penalty is <penalty>

    Examples:
      | factor | penalty  |
      | 1      | zero     |
      | 5      | positive |

  Scenario Outline: A run without progress is considered stalled
    # Guards against tasks that hang for ever on a worker that still answers.
    When the progress of a run last changed <seconds> s ago
    Then the run is considered <state>

    Examples:
      | seconds | state   |
      | 1       | healthy |
      | 3       | stalled |
