Feature: Work that may still meet its target
  The allocator of hosts serves such work before work that is late anyhow.

  Scenario Outline: A job of two steps of 1 s each, with a target of 4 s
    # Guards against hosts for a backlog that has missed its target, and against
    # giving up on work that has not.
    Given a job of two steps of 1 s with a stretch of 1.5 and 1 s more
    When it was accepted <age> s ago and <done> of its steps are done
    Then a task that waits <waiting> meet the target
    And a task that runs <running> meet the target

    Examples:
      | age | done | waiting | running |
      | 0   | 0    | may     | may     |
      | 1.9 | 0    | may     | may     |
      | 2.1 | 0    | can't   | may     |
      | 2.9 | 1    | may     | may     |
      | 3.1 | 1    | can't   | may     |
      | 4.1 | 1    | can't   | can't   |

  Scenario: Long-running tasks have no target to miss
    # Guards against services that lose their hosts to batch work.
    Given a long-running job
    When it was accepted 600 s ago and 0 of its steps are done
    Then a task that waits may meet the target
    And a task that runs may meet the target
