Feature: Workers that fail what they start
  They are told from bad jobs, and draw no work.

  Scenario: A worker that fails tasks of several jobs is tried with one at a time
    # Guards against a black hole that draws every task of a burst.
    Given a worker on which tasks of 2 jobs failed just now
    Then it takes no work
    And after 2 s it takes work only while it is idle

  Scenario: A suspect worker that ends a task well is sound again
    # Guards against a worker that stays out for good.
    Given a worker on which tasks of 2 jobs failed just now
    When a task on it is done
    Then it takes work

  Scenario: A bad job says nothing of the workers
    # Guards against sound workers that are shut out by jobs that always fail.
    Given a job whose tasks fail on every worker
    Then only the first of its workers is counted against

  Scenario Outline: A slow worker is used last
    # Guards against work on a slow worker while others are free.
    Given a worker whose tasks take <factor> times the usual time
    Then its penalty is <penalty>

    Examples:
      | factor | penalty  |
      | 1      | zero     |
      | 5      | positive |

  Scenario Outline: A run without progress is given up
    # Guards against tasks that stand still for ever on a worker that answers.
    When the progress of a run was last seen to change <seconds> s ago
    Then the run is <verdict>

    Examples:
      | seconds | verdict |
      | 1       | fine    |
      | 3       | stalled |
