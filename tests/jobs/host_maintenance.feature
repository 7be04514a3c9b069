Feature: Host maintenance
  Hosts of a wave go down in turn without exceeding an availability budget.

  Scenario Outline: The cap of a wave is split between pools
    # Guards against partition owners that together take down more hosts than
    # the cap allows.
    When a wave with a cap of <cap> has due hosts in pools <due>
    Then the parts are <parts>

    Examples:
      | cap | due           | parts         |
      | 8   | 5, 4, 6, 4    | 2, 2, 2, 2    |
      | 1   | 3, 3          | 1, 0          |
      | 2   | 9, 1          | 2, 0          |
      | 10  | 2, 3          | 2, 3          |
      | 3   | 0, 7          | 0, 3          |

  Scenario Outline: A pool without a part of the cap has its turn later
    # Guards against waves that never finish because the cap is smaller than the
    # number of pools.
    When a wave with a cap of <cap> has hosts in pools <due> and pools <finished> have finished
    Then the parts are <parts>

    Examples:
      | cap | due     | finished | parts   |
      | 1   | 3, 3    | a        | 0, 1    |
      | 1   | 3, 3, 3 | a        | 0, 1, 0 |
      | 1   | 3, 3, 3 | ab       | 0, 0, 1 |
      | 1   | 3, 3    | b        | 1, 0    |
      | 1   | 3, 3    | ab       | 0, 0    |

  Scenario Outline: Busy hosts are left alone until maintenance is urgent
    # Guards against maintenance during a burst that could have waited.
    Given hosts that are due for maintenance with <batch> batch tasks each
    When <pending> tasks are pending and maintenance <urgency> urgent
    Then <count> hosts are selected for 2 slots

    Examples:
      | batch   | pending | urgency | count |
      | 0, 0, 0 | 0       | is not  | 2     |
      | 0, 4, 4 | 0       | is not  | 1     |
      | 0, 4, 4 | 9       | is not  | 0     |
      | 0, 4, 4 | 9       | is      | 2     |
