Feature: Where tasks run
  Placement keeps labels, limits and room, and packs what is left.

  Scenario Outline: A worker may run a task or not
    # Guards against starts that a worker refuses or that break a step's rules.
    Given a worker with 4 free cores, label x and <beside> tasks of the step
    When a task of 2 cores asks for label "<label>" and at most <most> a worker
    Then the worker is <verdict>

    Examples:
      | beside | label | most | verdict |
      | 0      |       | 0    | chosen  |
      | 0      | x     | 0    | chosen  |
      | 0      | y     | 0    | passed  |
      | 1      |       | 1    | passed  |
      | 1      |       | 2    | chosen  |

  Scenario: A task goes to the rack of its data
    # Guards against work far from its data while there is room near it.
    Given workers on racks r1 and r2 with 8 free cores each
    When a task whose data is on r2 is placed
    Then it goes to rack r2

  Scenario: A worker that fails what it starts is avoided
    # Guards against a black hole: a worker that ends tasks at once has room.
    Given workers on racks r1 and r2 with 8 free cores each
    And the worker on r1 fails most of its tasks
    When a task without data is placed
    Then it goes to rack r2

  Scenario Outline: A gang starts whole or not at all
    # Guards against members that wait for others that have no room.
    Given workers on racks r1 and r2 with 8 free cores each
    When a gang of <members> tasks of 2 cores is placed on <racks>
    Then <placed> of them get a place on <used> racks

    Examples:
      | members | racks     | placed | used |
      | 4       | one rack  | 4      | 1    |
      | 6       | one rack  | 6      | 2    |
      | 8       | any racks | 8      | 2    |
      | 9       | any racks | 0      | 0    |

  Scenario: A lasting task takes the room of the batch runs that began last
    # Guards against a lasting task that waits while a pool is full, and against
    # throwing away more work than need be.
    Given a full worker with batch runs of 2 cores begun 5 s, 3 s and 1 s ago
    When a lasting task of 3 cores needs room there
    Then the runs begun 1 s and 3 s ago are stopped

  Scenario Outline: Filling gives way to serving
    # Guards against a serving task that misses its target beside fillers.
    When fillers at <now> percent stand beside a tail of <tail> of 100 ms
    Then they go on at <next> percent

    Examples:
      | now | tail | next |
      | 100 | 40   | 100  |
      | 100 | 75   | 30   |
      | 100 | 95   | 0    |
      | 0   | 60   | 0    |
      | 0   | 30   | 20   |

  Scenario Outline: Only stragglers of steps that allow it get a copy
    # Guards against doubled runs of steps whose tasks must run once.
    Given a step that <allows> copies with 3 tasks done in 1 s each
    When a fourth task has run for <seconds> s
    Then it gets <copies> copies

    Examples:
      | allows  | seconds | copies |
      | allows  | 1.5     | 0      |
      | allows  | 2.5     | 1      |
      | forbids | 9       | 0      |

  Scenario Outline: Jobs that can still meet their target go first
    # Guards against a burst in which every job is served too late.
    When jobs have waited for <waits> s with a target of 2 s and 1 s of work
    Then they are taken in the order <order>

    Examples:
      | waits         | order |
      | 0.1, 0.5      | 1, 0  |
      | 5, 0.5, 0.1   | 1, 2, 0 |
