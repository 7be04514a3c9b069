Feature: Hosts borrowed from the spare pool
  Pools borrow hosts for lasting shortages, but not for bursts of a few seconds.

  Scenario: Bursts of a few seconds at five times the mean load
    # Guards against hosts that are moved back and forth with each burst.
    When the borrowing controller sees bursts for 250 s
    Then no host is borrowed

  Scenario: A temporary rise of the load
    # Guards against a shortage for which no host is borrowed, and against hosts
    # that are borrowed repeatedly or never returned.
    When the borrowing controller sees the load rise to 1.2 of the pool for 140 s
    Then hosts are borrowed within 90 s of the rise
    And each borrowed host is returned once and none is borrowed again

  Scenario: A zone is taken out of service
    # Guards against a controller that waits for a backlog to build up although
    # it knows that hosts are lost.
    When the borrowing controller sees a zone go out of service at a load of 0.85
    Then hosts are borrowed within 15 s of the loss

  Scenario Outline: A spare pool with its own utilization <utilization> and budget <budget>
    # Guards against lending hosts that the spare pool needs for its own latency
    # target, or more than its availability budget allows.
    Given an overloaded pool and a spare pool of 8 hosts with <utilization> and <budget>
    Then the borrowing controller borrows <count> hosts

    Examples:
      | utilization | budget | count |
      | 0.1         | 3      | 3     |
      | 0.6         | 8      | 2     |
      | 0.9         | 3      | 0     |
      | 0.1         | 0      | 0     |

  Scenario: A spare pool with bursts of its own
    # Guards against lending by the mean load alone, after which bursts in the
    # spare pool miss their latency target.
    Given an overloaded pool and a spare pool whose bursts need all but one host
    Then the borrowing controller borrows 1 hosts
