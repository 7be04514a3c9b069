Feature: Maintenance of hosts
  Roll-outs drain hosts within the availability budget, reboot them only when
  nothing runs there, and stop when a wave goes wrong.

  Scenario Outline: A roll-out under <faults>
    # Guards against reboots that break a budget or interrupt a task, new work
    # on a leaving host, a host in two pools, and a roll-out that gets stuck.
    When a roll-out runs with load and <faults> on seeds <seeds>
    Then the stand-ins' records show no violation
    And the roll-out has ended: <ended>

    Examples:
      | faults                                                      | seeds | ended |
      | no faults                                                   | 1     | yes   |
      | kills of entry hosts                                        | 1     | yes   |
      | outages of the platform                                     | 1     | yes   |
      | lost append answers                                         | 1     | yes   |
      | zones taken out                                             | 1     | yes   |
      | zones cut off                                               | 1     | yes   |
      | racks that die                                              | 1     | -     |
      | operators who race                                          | 1     | -     |
      | kills of entry hosts,outages of the platform,zones taken out,racks that die,operators who race,lost append answers | 1,2 | - |

  Scenario Outline: A product that <fault> fails the check <check>
    # Guards against a check of roll-outs that can't fail.
    When a roll-out runs on a product that <fault>
    Then the roll-out fails the check "<check>"

    Examples:
      | fault                           | check   |
      | counts nothing against a budget | budget  |
      | gives work to leaving hosts     | leaving |

  Scenario Outline: A wave in which hosts <go wrong>
    # Guards against a roll-out that goes on after it broke hosts.
    When a roll-out runs whose first two hosts <go wrong>
    Then the roll-out is stopped by a record and no host reboots after it
    And the hosts that went wrong are recorded as failed

    Examples:
      | go wrong                      |
      | don't return from the reboot  |
      | fail shortly after the return |

  Scenario Outline: A leaving host with a task of <run_s> s
    # Guards against a reboot that interrupts work which the grants of one
    # dispatcher no longer show, and against a drain that waits for ever.
    When a host drains while a task of <run_s> s runs on it
    Then the task has <ending> before the reboot

    Examples:
      | run_s | ending          |
      | 30    | finished        |
      | 900   | been checkpointed |

  Scenario: A zone is taken out between the drain and the reboot
    # Guards against a reboot on a budget that was free only at the grant, and
    # against hosts that stay idle while the pool is short of them.
    Given a pool with a drained host whose budget is then used up by a zone
    Then the host is held, and given back without a reboot after a while

  Scenario: A roll-out waits for its wave without a walk over all hosts
    # Guards against a cost of all hosts each second for each roll-out, and
    # against a roll-out that stays at its first wave.
    Given a pool whose roll-out has drained host h4
    Then no host is pending, and the hosts are not walked over
    And 11 hosts are pending once h4 has returned

  Scenario Outline: The wave of a pool with <budget>
    # Guards against waves that are narrower than the budget allows.
    Given a pool of 12 hosts in racks of 4, two of them dead, and <budget>
    Then the next wave is <wave>

    Examples:
      | budget                      | wave           |
      | 4 hosts, 1 rack and 1 zone  | h4 h5          |
      | 6 hosts, 1 rack and 1 zone  | h4 h5 h6 h7    |
      | 8 hosts, 2 racks and 1 zone | h4 h5 h6 h7    |
      | 8 hosts, 2 racks and 2 zones | h4 h5 h6 h7 h8 h9 |
      | 2 hosts, 1 rack and 1 zone  | empty          |
