Feature: Placement of tasks
  Placement respects labels, limits and capacity, and packs tasks on few workers.

  Scenario Outline: Whether a worker is feasible for a task
    # Guards against start commands that a worker rejects or that violate the
    # constraints of a step.
    Given a worker with 4 free cores, label x and <present> tasks of the step
    When a task of 2 cores requires label "<label>" and at most <maximum> a worker
    Then the worker is considered <verdict>

    Examples:
      | present | label | maximum | verdict    |
      | 0       |       | 0       | feasible   |
      | 0       | x     | 0       | feasible   |
      | 0       | y     | 0       | infeasible |
      | 1       |       | 1       | infeasible |
      | 1       |       | 2       | feasible   |

  Scenario: A task is placed in the rack of its data
    # Guards against tasks far from their data while there is room near it.
    Given workers in racks r1 and r2 with 8 free cores each
    When a task whose data is in rack r2 is placed
    Then it is placed in rack r2

  Scenario: A worker that fails its tasks is avoided
    # Guards against a black-hole worker, which has room because it fails tasks
    # at once.
    Given workers in racks r1 and r2 with 8 free cores each
    And the worker in rack r1 fails most of its tasks
    When a task without data is placed
    Then it is placed in rack r2

  Scenario Outline: A gang is placed as a whole or not at all
    # Guards against members that wait for others for which there is no room.
    Given workers in racks r1 and r2 with 8 free cores each
    When a gang of <members> tasks of 2 cores is placed in <racks>
    Then <placed> of them are placed in <used> racks

    Examples:
      | members | racks     | placed | used |
      | 4       | one rack  | 4      | 1    |
      | 6       | one rack  | 6      | 2    |
      | 8       | any racks | 8      | 2    |
      | 9       | any racks | 0      | 0    |

  Scenario: A long-running task preempts the batch runs that started last
    # Guards against a long-running task that stays pending while a pool is full,
    # and against the loss of more work than necessary.
    Given a full worker with batch runs of 2 cores started 5 s, 3 s and 1 s ago
    When a long-running task of 3 cores needs room there
    Then the runs started 1 s and 3 s ago are stopped

  Scenario Outline: A long-running task doesn't preempt where it may not run
    # Guards against batch runs that are stopped in vain, and against a
    # long-running task that waits for room on a worker that it can't use.
    Given a full worker with batch runs of 2 cores started 5 s, 3 s and 1 s ago
    When a long-running task of 3 cores may only use <rule> there
    Then no run is stopped there

    Examples:
      | rule                       |
      | workers with another label |
      | workers without its step   |

  Scenario Outline: Best-effort tasks yield to latency-sensitive ones
    # Guards against a latency-sensitive task that misses its target because of
    # best-effort tasks on the same worker.
    When best-effort tasks at <current> percent meet a tail latency of <latency> of 100 ms
    Then they continue at <next> percent

    Examples:
      | current | latency | next |
      | 100     | 40      | 100  |
      | 100     | 75      | 30   |
      | 100     | 95      | 0    |
      | 0       | 60      | 0    |
      | 0       | 30      | 20   |

  Scenario Outline: Only stragglers of speculative steps get a second run
    # Guards against two runs of a task that must run only once.
    Given a step that <allows> speculation with 3 tasks completed in 1 s each
    When a fourth task has run for <seconds> s
    Then it gets <runs> speculative runs

    Examples:
      | allows  | seconds | runs |
      | allows  | 1.5     | 0    |
      | allows  | 2.5     | 1    |
      | forbids | 9       | 0    |

  Scenario Outline: Jobs that can still meet their target go first
    # Guards against a burst in which every job misses its target.
    When jobs have waited for <waits> s with a target of 2 s and 1 s of work
    Then they are placed in the order <order>

    Examples:
      | waits         | order |
      | 0.1, 0.5      | 1, 0  |
      | 5, 0.5, 0.1   | 1, 2, 0 |
