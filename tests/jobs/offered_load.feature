Feature: Autoscaling from the offered load
  A pool is sized for the work that its jobs bring per second.

  Scenario Outline: A pool is sized for a burst by its offered load
    # Guards against pools that follow the width of their backlog: too small at
    # the start of a burst, largest after its end. The width of the backlog is
    # what is used while the offered load is unknown. Estimates are those of
    # callers, which are off by up to nine tenths, or learned run times.
    When 8 bursts of <rate> jobs per second are served with <estimates> estimates
    Then no more work is late than by the width of the backlog
    And of the jobs of the first 4 s, at most <late> times as much work is late
    And hosts are on for at most <time> times as long

    Examples:
      | rate | estimates | late | time |
      | 28   | learned   | 0.9  | 0.97 |
      | 28   | caller    | 0.7  | 1.0  |
      | 12   | learned   | 0.9  | 1.0  |

  Scenario: Hosts are requested in one step early in a burst
    # Guards against hosts that are requested as the backlog grows, so that most
    # of them arrive when the burst is over.
    When 5 pools get 28 jobs per second
    Then after 0.5 s they have requested at least 0.6 of the hosts that they request in the burst

  Scenario: A new owner has no rate at first
    # Guards against a pool that shrinks when its owner changes during a burst:
    # until a window is complete, the backlog counts.
    When an owner has measured for 0.4 s
    Then the offered load is unknown

  Scenario: The rate falls as soon as a burst has ended
    # Guards against hosts that are requested for a burst that is over.
    When a pool gets 28 jobs per second for 4 s and none for 0.6 s
    Then its offered load is none

  Scenario: Work beyond a quota needs no hosts
    # Guards against hosts for tasks that a quota keeps waiting.
    When jobs of an account with a quota of 16 cores bring 100 cores of work
    Then the pool requires at most 19 cores
