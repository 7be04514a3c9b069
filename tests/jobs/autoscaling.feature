Feature: Autoscaling of pools
  Queues burst in turn; pools grow early, shrink late and never below a minimum.

  Scenario Outline: The size follows running and pending tasks
    # Guards against pools that are too small for their load or never shrink.
    Given hosts of 32 cores
    When a pool of <hosts> hosts has <used> cores in use and <pending> pending
    Then it needs <needed> hosts

    Examples:
      | hosts | used | pending | needed |
      | 8     | 0    | 0       | 3      |
      | 8     | 100  | 0       | 4      |
      | 4     | 100  | 60      | 7      |
      | 8     | 256  | 256     | 20     |

  Scenario: Growing demand is extrapolated
    # Guards against hosts that arrive only after the burst they were meant for.
    Given hosts of 32 cores
    When a pool of 4 hosts has a demand of 20 cores, and of 100 cores 1 s later
    Then it needs 7 hosts

  Scenario: A brief peak doesn't make a pool grow
    # Guards against moving hosts for tasks that are pending only until the next
    # placement pass.
    Given hosts of 32 cores
    When a pool has a demand of 20 cores for 1 s and of 400 cores for 0.1 s
    Then it doesn't grow beyond 3 hosts

  Scenario: A pool keeps its hosts for a while after a burst
    # Guards against hosts that are moved away and back between two jobs.
    Given hosts of 32 cores
    When a pool has a demand of 400 cores for 4 s and of 20 cores for 1 s
    Then it keeps at least 16 hosts
    When it has a demand of 20 cores for 1 s more
    Then it keeps 3 hosts

  Scenario: A new owner doesn't shrink a pool before it knows its load
    # Guards against taking hosts away during a burst when the owner changes.
    Given hosts of 32 cores
    When a pool has a demand of 20 cores for 1 s
    Then it may not shrink yet

  Scenario Outline: Steps with a limit per worker, and fragmentation
    # Guards against tasks that stay pending because the total demand needs fewer
    # hosts than they do.
    Given hosts of 32 cores
    When a pool of 4 hosts needs <min_hosts> hosts for a limit and is <packing>
    Then it needs <needed> hosts

    Examples:
      | min_hosts | packing    | needed |
      | 6         | even       | 6      |
      | 0         | fragmented | 5      |

  Scenario: Late work is told apart from work that can meet its target
    # Guards against a backlog that has missed its target and takes hosts from
    # work that has not.
    Given hosts of 32 cores
    When a pool has a demand of 400 cores for 1 s, of which 100 cores are on time
    Then it needs 16 hosts, of which 4 are urgent
