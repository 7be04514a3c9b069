Feature: Hosts borrowed from the spare pool
  A lasting shortage is covered from the spare pool; bursts of seconds are not.

  Scenario: Bursts of five times the mean for some seconds
    # Guards against hosts that move back and forth with each burst.
    When the buffer controller sees bursts for 250 s
    Then no host is borrowed

  Scenario: A rise that lasts and ends
    # Guards against a shortage that is never covered, and against hosts that
    # are borrowed and returned in turns or never given back.
    When the buffer controller sees a rise to 1.2 of the pool that lasts 140 s
    Then hosts are borrowed within 90 s of the rise
    And each borrowed host is returned once and none is borrowed again

  Scenario: A zone taken out
    # Guards against a controller that waits for the backlog although the lost
    # hosts are known.
    When the buffer controller sees a zone go out at 0.85 of the pool's load
    Then hosts are borrowed within 15 s of the loss

  Scenario Outline: A spare pool whose own use is <use> and whose budget is <budget>
    # Guards against a loan that costs the spare pool its target or budget.
    Given a short pool and a spare pool of 8 hosts with <use> and <budget>
    Then the buffer controller borrows <count> hosts

    Examples:
      | use | budget | count |
      | 0.1 | 3      | 3     |
      | 0.6 | 8      | 2     |
      | 0.9 | 3      | 0     |
      | 0.1 | 0      | 0     |

  Scenario: A spare pool with bursts of its own
    # Guards against loans judged by the mean alone, after which the spare
    # pool's own bursts miss their target.
    Given a short pool and a spare pool whose bursts need all but one host
    Then the buffer controller borrows 1 hosts
