Feature: Upkeep of hosts
  Hosts go down one after the other without breaking an availability budget.

  Scenario Outline: The cap of a wave is split between pools
    # Guards against owners that together take down more hosts than allowed.
    When a wave with a cap of <cap> has due hosts in pools <due>
    Then the parts are <parts>

    Examples:
      | cap | due           | parts         |
      | 8   | 5, 4, 6, 4    | 2, 2, 2, 2    |
      | 1   | 3, 3          | 1, 0          |
      | 2   | 9, 1          | 2, 0          |
      | 10  | 2, 3          | 2, 3          |
      | 3   | 0, 7          | 0, 3          |

  Scenario Outline: A pool without a part has its turn
    # Guards against waves that never end because the cap is below the number
    # of pools.
    When a wave with a cap of <cap> has hosts in pools <due> and pools <finished> are done
    Then the parts are <parts>

    Examples:
      | cap | due     | finished | parts   |
      | 1   | 3, 3    | a        | 0, 1    |
      | 1   | 3, 3, 3 | a        | 0, 1, 0 |
      | 1   | 3, 3, 3 | ab       | 0, 0, 1 |
      | 1   | 3, 3    | b        | 1, 0    |
      | 1   | 3, 3    | ab       | 0, 0    |

  Scenario Outline: A lasting task is stopped only within its budget
    # Guards against a stop while another task of the step is away: one that
    # is not yet at work, or whose worker is silent, is away.
    Given a lasting step of <tasks> tasks of which <budget> may be away
    And task 1 is <state>
    When task 0 is to be stopped for upkeep
    Then stopping it is <verdict>

    Examples:
      | tasks | budget | state                | verdict   |
      | 3     | 1      | at work              | allowed   |
      | 3     | 1      | starting             | forbidden |
      | 3     | 1      | not running          | forbidden |
      | 3     | 1      | on a silent worker   | forbidden |
      | 3     | 2      | not running          | allowed   |
      | 3     | 0      | at work              | forbidden |
      | 3     | none   | not running          | allowed   |

  Scenario Outline: Busy hosts wait until time presses
    # Guards against upkeep in the middle of a burst that could have waited.
    Given hosts that are due with <batch> batch tasks each
    When <waiting> tasks wait for room and upkeep <presses>
    Then <count> hosts are chosen for 2 slots

    Examples:
      | batch   | waiting | presses        | count |
      | 0, 0, 0 | 0       | does not press | 2     |
      | 0, 4, 4 | 0       | does not press | 1     |
      | 0, 4, 4 | 9       | does not press | 0     |
      | 0, 4, 4 | 9       | presses        | 2     |
