Feature: Expected run times learned from completed runs
  Order, targets and demand for hosts rest on expected run times, and callers'
  estimates are off by up to nine tenths.

  Scenario Outline: Expected run times are nearer the truth than estimates
    # Guards against a combination of estimate and experience that is worse than
    # the better of both: a queue whose estimates are noise, and one whose
    # estimates are off by the same factor always.
    Given steps whose run times vary by a factor of e to the <time>
    And estimates that are <estimates>
    And 3 % of tasks that take 7 times as long
    And 3 % of tasks on workers that aren't known to be 5 times slower
    When the tasks of 300 steps have completed
    Then the error of the expected times of 300 further steps is at most <share> of that of the estimates
    And it is at most <typical> of that of the typical run time

    Examples:
      | time | estimates                                     | share | typical |
      | 0.5  | the run time over a factor of 1.47 e to the 1 | 0.5   | 1.0     |
      | 0.5  | off by up to nine tenths                      | 0.75  | 1.0     |
      | 0.5  | unrelated to the run time                     | 0.55  | 1.2     |
      | 1.0  | half of the run time                          | 0.1   | 0.1     |

  Scenario: A long tail doesn't shift the expected time
    # Guards against an average that 3 % of tasks, seven times as long as the
    # others, raise by a fifth, as they do the arithmetic mean.
    Given steps whose run times vary by a factor of e to the 0.5
    And estimates that are unrelated to the run time
    When the tasks of 300 steps have completed with and without a long tail
    Then the expected times differ by less than 12 %

  Scenario: The tasks of one step have the weight of one
    # Guards against one step of 32 equal tasks that outweighs the steps of many
    # jobs.
    Given steps whose tasks take 1 s
    When the tasks of 40 steps of 1 task have completed
    And the 32 tasks of a step have completed in 4 s
    Then a task is expected to take less than 1.2 s

  Scenario: A change of behavior is followed
    # Guards against clipping that holds on to what was true before.
    Given steps whose tasks take 1 s
    When the tasks of 100 steps of 8 tasks have completed
    And the tasks of 50 steps of 8 tasks have completed in 4 s each
    Then a task is expected to take between 3 s and 4.5 s

  Scenario Outline: Nothing is known yet
    # Guards against jobs that count as having no work at all.
    Given no completed runs
    When a step has an estimate of <estimate> ms
    Then a task is expected to take <expected> s

    Examples:
      | estimate | expected |
      | 700      | 0.7      |
      | 0        | 1        |

  Scenario: Many images
    # Guards against memory that grows with the names that callers choose.
    Given no completed runs
    When tasks of 300 images have completed, 1 s apart
    Then the last 256 images are known
    And an hour later one further task leaves only its own image

  Scenario: Changes are stored and logged at intervals
    # Guards against a record or a log line for each completed task.
    Given no completed runs
    When 4000 tasks complete in 20 s, whose run time doubles every 4 s
    Then they are stored 5 to 11 times and logged 2 to 5 times
    When 2000 tasks complete in 10 s, whose run time stays the same
    Then they are stored and logged 3 times at most

  Scenario: The store is unavailable
    # Guards against records that pile up, and against a change that is never
    # stored since it came during the outage.
    Given no completed runs
    When 4000 tasks complete during an outage of the store
    Then nothing is to be stored, and the tasks count
    And the first task after the outage is stored

  Scenario: A job that waits keeps its place
    # Guards against an index of waiting jobs whose order changes under it.
    Given a job with a target, its steps estimated at 1 s each, in the index
    When the tasks of 20 other jobs have taken 2.2 s each
    Then its latest start hasn't changed
    When it is put into the index again
    Then its steps are expected to take 2 to 2.4 s each
    And its completion target has grown with them

  Scenario: The step itself has completed tasks
    # Guards against an expectation from other jobs where the job's own tasks
    # tell better.
    Given a job with a target, its steps estimated at 1 s each, in the index
    When 3 tasks of its first step have taken 0.4 s, 0.5 s and 3 s
    And it is put into the index again
    Then its first step is expected to take 0.5 s

  Scenario: A queue without a completion target
    # Guards against an effect where operators haven't asked for one.
    Given a job without a target, its steps estimated at 1 s each, in the index
    When the tasks of 20 other jobs have taken 2.2 s each
    And it is put into the index again
    Then its steps are expected to take 1 to 1 s each

  Scenario Outline: A task of a speculative step before any other has completed
    # Guards against a straggler that gets a copy only once three other tasks have
    # completed, and against copies by an estimate that is too low.
    Given a speculative job whose tasks are estimated at 0.5 s
    When the tasks of <jobs> jobs with the same estimate have taken 1 s each
    And one of its tasks has run for <seconds> s
    Then it gets <copies> copies

    Examples:
      | jobs | seconds | copies |
      | 20   | 1.5     | 0      |
      | 20   | 2.5     | 1      |
      | 0    | 9       | 0      |
