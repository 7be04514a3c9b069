Feature: Division of hosts among pools
  Pools whose bursts overlap get equal parts of the hosts that are scarce.

  Scenario: Two pools burst at once while a third is idle
    # Guards against a pool that gathers most hosts because it asked first, so
    # that short work of another one waits until its target has passed.
    Given these pools and 8 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | licensing | 43    | 3   | 110    | 110    | 110      |
      | billing   | 4     | 3   | 64     | 64     | 64       |
      | idle      | 5     | 3   | 3      | 3      | 5        |
    Then the sizes are licensing 29, billing 28, idle 3

  Scenario: A pool that needs less than its part is served in full
    # Guards against short work that is drowned by a backlog of large work.
    Given these pools and 0 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | large     | 50    | 3   | 200    | 200    | 200      |
      | short     | 4     | 3   | 9      | 9      | 9        |
    Then the sizes are large 45, short 9
    And short lacks 5 hosts
    And large should release 5 hosts

  Scenario: Late work waits while other work can still meet its target
    # Guards against short work that misses its target beside a backlog that has
    # missed it already (second 10 of the small twin of a deployment of 272
    # workers: 56 hosts needed, 21 given, 27 kept for late work).
    Given these pools and 0 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | licensing | 48    | 10  | 12     | 87     | 94       |
      | billing   | 5     | 3   | 40     | 56     | 60       |
      | idle      | 7     | 3   | 3      | 3      | 7        |
    Then the sizes are licensing 17, billing 40, idle 3

  Scenario: Hosts that a pool needed before go to one that needs them now
    # Guards against a pool that keeps a surplus while others wait.
    Given these pools and 0 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | former    | 60    | 3   | 10     | 10     | 60       |
      | next      | 10    | 3   | 40     | 40     | 40       |
    Then the sizes are former 30, next 40

  Scenario: A surplus stays where it is while nobody needs it
    # Guards against hosts that move away and back between two jobs.
    Given these pools and 4 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | former    | 20    | 3   | 10     | 10     | 16       |
      | calm      | 5     | 3   | 5      | 5      | 5        |
    Then the sizes are former 16, calm 5

  Scenario: Hosts that can't be released count first
    # Guards against promising hosts that long-running tasks keep in place.
    Given these pools and 0 spare hosts
      | pool      | hosts | min | urgent | needed | retained |
      | fixed     | 30    | 28  | 28     | 28     | 30       |
      | burst     | 10    | 3   | 50     | 50     | 50       |
    Then the sizes are fixed 28, burst 12

  Scenario: Properties of any division
    # Guards against hosts that are given twice, pools below the hosts that they
    # can't release, and answers that depend on the order of the pools.
    When 2000 random fleets are divided
    Then the sizes of each add up to at most all hosts
    And no pool is below its minimum or above what it can use
    And a pool lacks hosts only if no other one has more beyond its minimum
    And the order of the pools changes no total
