Feature: Runs that slow workers delay
  A checkpointing run is moved only from a slow worker, and only if it completes
  sooner elsewhere.

  Scenario Outline: Whether a worker is slow
    # Guards against moving one of the tasks that take several times as long as
    # the others on every worker, and against trusting the first report of a run.
    Given tasks that are expected to take 2 s
    When runs of <steps> have made <progress> percent of progress in <seconds> s
    And completed runs on their worker were <before>
    Then the worker is <verdict>

    Examples:
      | steps      | progress | seconds | before | verdict |
      | two steps  | 10       | 1       | usual  | slow    |
      | two steps  | 20       | 1       | usual  | usual   |
      | two steps  | 0        | 0.4     | usual  | usual   |
      | one step   | 10       | 1       | usual  | usual   |
      | one step   | 10       | 1       | slow   | slow    |
      | one step   | 40       | 1       | slow   | usual   |

  Scenario Outline: Whether a run completes sooner elsewhere
    # Guards against a move that takes longer than the rest of the run: stop,
    # resumption, and the work since the checkpoint count.
    Given tasks that are expected to take 2 s
    When a run has made <progress> percent of progress in <seconds> s, its checkpoint is at <checkpoint> percent, and <age> s have passed
    Then it completes sooner <where>

    Examples:
      | progress | seconds | checkpoint | age | where     |
      | 10       | 1       | 5          | 0   | elsewhere |
      | 0        | 1       | 0          | 0   | elsewhere |
      | 50       | 4       | 0          | 0   | elsewhere |
      | 50       | 2       | 0          | 0   | here      |
      | 50       | 4       | 0          | 1.5 | here      |
      | 90       | 9       | 80         | 0   | here      |
