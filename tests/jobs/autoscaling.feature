Feature: How many hosts a pool should have
  Queues burst in turn; pools grow early, shrink late and never below a minimum.

  Scenario Outline: The size follows what runs and waits
    # Guards against pools that are too small for their load or never shrink.
    Given hosts of 32 cores
    When a pool of <hosts> hosts has <used> cores at work and <waiting> waiting
    Then it needs <needed> hosts

    Examples:
      | hosts | used | waiting | needed |
      | 8     | 0    | 0       | 3      |
      | 8     | 100  | 0       | 4      |
      | 4     | 100  | 60      | 7      |
      | 8     | 256  | 256     | 20     |

  Scenario: Demand that rises is taken to rise on
    # Guards against a burst that is over before the hosts for it arrive.
    Given hosts of 32 cores
    When a pool of 4 hosts asks 20 cores, and 100 cores 1 s later
    Then it needs 7 hosts

  Scenario: A moment's demand doesn't make a pool grow
    # Guards against moves for tasks that wait only until the next pass.
    Given hosts of 32 cores
    When a pool asks 20 cores for 1 s and 400 cores for 0.1 s
    Then it doesn't grow beyond 3 hosts

  Scenario: A pool keeps its hosts for a while after a burst
    # Guards against hosts that are moved away and back between two jobs.
    Given hosts of 32 cores
    When a pool asks 400 cores for 4 s and 20 cores for 1 s
    Then it keeps at least 16 hosts
    When it asks 20 cores for 1 s more
    Then it keeps 3 hosts

  Scenario: A new owner doesn't shrink a pool before it knows its load
    # Guards against a burst that is cut short by a change of owner.
    Given hosts of 32 cores
    When a pool asks 20 cores for 1 s
    Then it may not shrink yet

  Scenario Outline: Steps with a limit for one worker and uneven tasks
    # Guards against tasks that wait for a host that the sums don't ask for.
    Given hosts of 32 cores
    When a pool of 4 hosts needs <min_hosts> hosts for a limit and is <packed>
    Then it needs <needed> hosts

    Examples:
      | min_hosts | packed     | needed |
      | 6         | even       | 6      |
      | 0         | fragmented | 5      |
