Feature: Which task crashed a worker
  A crash counts against all tasks on the worker. A task is given up only if it must have
  crashed its worker and has lost three, or has lost four.

  Scenario Outline: A worker crashes under a batch task
    # Guards against giving up tasks that crash no worker, and against tasks that
    # go on crashing workers.
    Given a task that has lost <before> workers
    And a run of it that is <start>, <ran> s old at the worker's last answer
    And other runs there that are <beside> s old
    When the worker crashes
    Then the task has lost <after> workers and is <state>

    Examples: its first crash
      | before | start       | ran | beside | after | state     |
      | 0      | placed      | 0.1 | 0.1 5  | 1     | suspected |
      | 0      | placed      | 0.1 | none   | 1     | suspected |
      | 0      | placed      | 3.0 | 0.1    | 1     | clear     |
      | 0      | unconfirmed | 0.1 | 0.2    | 0     | suspected |

    Examples: started by itself
      | before | start       | ran | beside | after | state     |
      | 1      | isolated    | 0.1 | none   | 2     | suspected |
      | 2      | isolated    | 0.1 | none   | 3     | given up  |
      | 2      | isolated    | 0.1 | 3 5    | 3     | given up  |
      | 2      | isolated    | 0.1 | 0.5 5  | 3     | suspected |
      | 2      | isolated    | 1.6 | 0.1    | 3     | suspected |
      | 2      | unconfirmed | 0.1 | none   | 2     | suspected |
      | 2      | isolated    | 9.0 | none   | 3     | given up  |

    Examples: lost beside others again and again
      | before | start       | ran | beside | after | state     |
      | 1      | placed      | 3.0 | 0.1    | 2     | suspected |
      | 2      | placed      | 3.0 | 0.1    | 3     | suspected |
      | 3      | placed      | 3.0 | 0.1    | 4     | given up  |

  Scenario Outline: A worker crashes again under a task that was started by itself
    # Guards against giving up tasks for workers that crash whatever runs there,
    # and against starts whose reply the crash has cut off and that don't count.
    Given a task that has lost <before> workers
    And a run of it that is <start>, 0.1 s old at the worker's last answer
    And other runs there that are none s old
    When the worker crashes <again> s after it had crashed
    Then the task has lost <after> workers and is <state>

    Examples:
      | before | start                    | again | after | state     |
      | 2      | isolated                 | 3     | 3     | suspected |
      | 2      | isolated                 | 30    | 3     | given up  |
      | 3      | isolated                 | 3     | 4     | given up  |
      | 2      | isolated and unconfirmed | 3     | 3     | suspected |
      | 3      | isolated and unconfirmed | 3     | 4     | given up  |

  Scenario Outline: Another suspected task is on the worker that crashes
    # Guards against sound jobs that are given up with the one that crashes its
    # workers, as their tasks have lost the same ones.
    Given a task that has lost <before> workers beside others
    And a run of it that is placed, <ran> s old at the worker's last answer
    And a run there of a task that has lost <other> workers, <age> s old
    When the worker crashes
    Then the task has lost <after> workers and is <state>

    Examples:
      | before | ran | other | age | after | state     |
      | 3      | 0.1 | 3     | 0.1 | 4     | suspected |
      | 3      | 0.1 | 3     | 3.0 | 4     | given up  |
      | 3      | 3.0 | 3     | 3.0 | 4     | suspected |
      | 3      | 3.0 | 3     | 0.1 | 4     | suspected |
      | 3      | 0.1 | 2     | 0.1 | 4     | given up  |
      | 4      | 0.1 | 4     | 0.1 | 5     | given up  |

  Scenario Outline: A new owner knows of <others> other tasks that lost 4 workers
    # Guards against sound jobs that a new owner gives up for crashes that they
    # share with another task, and against a task that none ever gives up.
    Given a task that has lost <lost> workers beside others
    When a new owner knows of <others> other tasks that lost 4 workers
    Then the task has lost <lost> workers and is <state>

    Examples:
      | lost | others | state     |
      | 4    | 0      | given up  |
      | 4    | 2      | suspected |
      | 5    | 2      | given up  |

  Scenario: A member of a gang ends as its gang has lost a worker
    # Guards against a crash that is taken back because another member, whose
    # worker lives, reports the end of the same run.
    Given a gang of 2 tasks
    When workers crash under both members of 2 runs
    And another member reports the end of each run
    Then the gang has lost 2 workers and gets another run
    When workers crash under both members of 1 run
    Then the gang is given up

  Scenario: A task is reported on whose worker was taken for crashed
    # Guards against a crash that stays counted against a run that goes on.
    Given a task that has lost 2 workers
    When its worker reports the end of run 2
    Then the task has lost 1 workers and is suspected
    When its worker reports the end of run 1
    Then the task has lost 0 workers and is clear

  Scenario: A gang loses workers
    # Guards against gangs that are started without end, as their members can't be
    # started alone, and against counting a crash once for each member.
    Given a gang of 2 tasks
    When workers crash under both members of 2 runs
    Then the gang has lost 2 workers and gets another run
    When workers crash under both members of 1 run
    Then the gang is given up

  Scenario: A new owner restores a job
    # Guards against crashes that a previous owner saw and the next one doesn't
    # know of.
    Given a task that has lost 3 workers
    When its progress is stored and restored
    Then the task has lost 3 workers and is suspected

  Scenario Outline: A long-running task runs for long after its crashes
    # Guards against long-running tasks that are given up after months, since some
    # of their workers have crashed.
    Given a long-running task that has lost 2 workers
    When its next run has lasted <lasted> s
    Then the task has lost <after> workers and is <state>

    Examples:
      | lasted | after | state     |
      | 5      | 2     | suspected |
      | 9      | 0     | clear     |

  Scenario Outline: Workers crash under a long-running task by chance
    # Guards against a job that is given up, and its sound tasks stopped, for the
    # crashes of workers; and against a restart without a pause.
    Given a long-running task that has lost <before> workers
    And a run of it that is <start>, <ran> s old at the worker's last answer
    And other runs there that are none s old
    When the worker crashes
    Then the task has lost <after> workers and is suspected
    And it may run again after <pause> s
    And the job goes on with a new owner

    Examples:
      | before | start    | ran | after | pause |
      | 1      | placed   | 7.0 | 2     | 0     |
      | 2      | isolated | 0.1 | 3     | 0.5   |
      | 3      | placed   | 7.0 | 4     | 1     |
      | 3      | isolated | 0.1 | 4     | 1     |
      | 5      | isolated | 0.1 | 6     | 3     |
      | 8      | isolated | 0.1 | 8     | 3     |
