Feature: Runs that move from slow workers
  A run that can resume from a checkpoint goes on elsewhere if it completes sooner
  there, and never runs twice at the same time.

  Scenario: Two of three workers are slow
    # Guards against tasks that wait for a slow worker while another has room,
    # and against a retry that starts before the stopped run has ended.
    Given a platform fleet of 2 hosts and 3 workers
    And tasks run for 3 s
    When 6 jobs of tasks estimated at 0.5 s have completed, 1 s apart
    And 2 workers become 10 times slower
    And 4 jobs of 4 checkpointing tasks are submitted
    And 26 s pass
    Then all tasks of these jobs have completed
    And some of them were moved once and resumed from a checkpoint
    And no worker had to stop two of them at a time
    And no invariant was violated on the workers

  Scenario: Stops of runs on slow workers are lost
    # Guards against a retry that starts because its run was told to stop.
    Given a platform fleet of 2 hosts and 3 workers
    And tasks run for 3 s
    When 6 jobs of tasks estimated at 0.5 s have completed, 1 s apart
    And 2 workers become 10 times slower and lose all stops
    And 4 jobs of 4 checkpointing tasks are submitted
    And 40 s pass
    Then all tasks of these jobs have completed
    And no invariant was violated on the workers

  Scenario: The owner is killed while a run is being moved
    # Guards against a new owner that doesn't know of the stop and starts the task
    # while its run goes on.
    Given a platform fleet of 3 hosts and 3 workers
    And tasks run for 3 s
    When 6 jobs of tasks estimated at 0.5 s have completed, 1 s apart
    And 2 workers become 10 times slower
    And 4 jobs of 4 checkpointing tasks are submitted
    And the owner is killed as soon as it moves a run
    And 40 s pass
    Then all tasks of these jobs have completed
    And no invariant was violated on the workers

  Scenario Outline: Runs that aren't moved
    # Guards against a run that loses its work, is moved although it takes as long
    # everywhere, or is moved without room.
    Given a platform fleet of 2 hosts and <workers> workers
    And tasks run for <seconds> s
    When 6 jobs of tasks estimated at 0.5 s have completed, 1 s apart
    And <slow> workers become <factor> times slower
    And <jobs> jobs of 4 <kind> tasks are submitted
    And 12 s pass
    Then no run was moved

    Examples:
      | workers | seconds | slow | factor | jobs | kind                                  |
      | 3       | 2       | 2    | 10     | 4    | ordinary                              |
      | 3       | 2       | 2    | 1      | 4    | checkpointing                         |
      | 3       | 2       | 3    | 10     | 6    | checkpointing                         |
      | 3       | 2       | 3    | 6      | 1    | checkpointing                         |
      | 3       | 2       | 2    | 10     | 4    | checkpointing speculative             |
