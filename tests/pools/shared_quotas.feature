Feature: Quotas of client accounts over several pools
  Pools hold shares of a quota, and lend each other what they don't need.

  Scenario: Pools share a quota under load while owners are replaced
    # Guards against tasks beyond a quota by lost, late and repeated reports or by
    # a change of owner, and against shares that nobody can use any more.
    When four pools share a quota under load in 60 random runs
    Then no more ever ran or was held than the quota allows
    And a task that needs most of the quota started within 3 s in each run

  Scenario Outline: The check detects owners with an error
    # Guards against a check that can't fail.
    Given shares whose <fault>
    When four pools share a quota under load in 30 random runs
    Then more ran or was held than the quota allows

    Examples:
      | fault                                           |
      | ledger answers before its grants are stored     |
      | ledger accepts reports that were overtaken      |
      | ledger grants what is held elsewhere            |
      | ledger takes back what tasks don't use yet      |

  Scenario Outline: A task or a gang needs more than an equal part of a quota
    # Guards against work that never starts although its account uses nothing of
    # its quota, since each pool was limited to an equal part.
    Given a platform fleet of 3 hosts and 3 workers
    And the second worker belongs to another pool
    When operators limit the account to <quota> millicores
    And a job of <tasks> with <millicores> millicores each is submitted
    And 5 s pass
    Then every host reports the job as completed

    Examples:
      | quota | tasks             | millicores |
      | 8000  | 1 task            | 6000       |
      | 8000  | a gang of 3 tasks | 2000       |
      | 6000  | 1 task            | 6000       |
      | 4000  | 1 task            | 6000       |

  Scenario: A new owner can't reach a worker whose tasks use the quota
    # Guards against a new owner that starts tasks beyond a quota, as it doesn't
    # know yet what its predecessor has left running.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 12 s
    When operators limit the account to 4000 millicores
    And a job of 4 tasks is submitted
    And a worker with tasks is cut off from all hosts but the owner
    And the owner is killed
    And 4 s pass
    And another job of 4 tasks is submitted
    And 30 s pass
    Then the account never had more than 4 tasks running
    And tasks of the other job have started

  Scenario: Both pools use a quota that is too small for either
    # Guards against a pool that keeps a quota which another one waits for.
    Given a platform fleet of 3 hosts and 3 workers
    And the second worker belongs to another pool
    And tasks run for 1 s
    When operators limit the account to 4000 millicores
    And 12 tasks are submitted to each pool
    And 9 s pass
    Then the tasks of both pools are done
    And the account never had more than 4 tasks running
