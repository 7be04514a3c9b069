Feature: Numbers of tasks kept as ranges

  Scenario: Any changes give what a set gives
    # Guards against tasks that are lost or run twice because a range is split or
    # joined wrongly.
    When 400 random additions and removals change 60 task numbers
    Then the numbers are those of a set with the same changes

  Scenario Outline: A job of <tasks> tasks and <occurrences> occurrences
    # Guards against accepted jobs that hold memory for each task, or each
    # occurrence, that hasn't started.
    When a job of <tasks> tasks and <occurrences> occurrences is accepted
    Then it holds at most as much as <steps> steps of one task

    Examples:
      | tasks  | occurrences | steps |
      | 100000 | 1           | 2     |
      | 1      | 100000      | 256   |

  Scenario: Occurrences beyond those that are open
    # Guards against a schedule of which only the first occurrences run, and
    # against a job that counts as completed without the others.
    Given an accepted job of 2 steps with 600 occurrences
    When its tasks complete as they become ready
    Then it is completed after 1200 tasks

  Scenario: A new owner restores occurrences that weren't open
    # Guards against a new owner that starts completed tasks again.
    Given an accepted job of 2 steps with 600 occurrences
    When 700 of its tasks complete as they become ready
    And a new owner restores it from its records
    And its tasks complete as they become ready
    Then it is completed after 1200 tasks

  Scenario: A task completes after its job was cancelled
    # Guards against occurrences that are opened, and so counted as waiting, once
    # nothing of the job may start any more.
    Given an accepted job of 2 steps with 600 occurrences
    When all open tasks but one complete and the job is cancelled
    And the last one completes
    Then none of its tasks is pending
