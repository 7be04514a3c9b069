Feature: Maintenance of hosts
  Rollouts drain hosts within the availability budget, reboot them only when no
  task runs there, and stop when hosts of a wave fail.

  Scenario Outline: A rollout under <faults>
    # Guards against reboots that exceed a budget or interrupt a task, new tasks
    # on a draining or moving host, a host in two pools, and a rollout that
    # never completes.
    When a rollout runs under load with <faults> on seeds <seeds>
    Then the records of the stand-ins show no violation
    And the rollout is complete: <complete>

    Examples:
      | faults                       | seeds | complete |
      | no faults                    | 1     | yes      |
      | kills of entry hosts         | 1     | yes      |
      | outages of the platform      | 1     | yes      |
      | lost append replies          | 1     | yes      |
      | zones taken out of service   | 1     | yes      |
      | network partitions of zones  | 1     | yes      |
      | rack failures                | 1     | -        |
      | racing operators             | 1     | -        |
      | kills of entry hosts,outages of the platform,zones taken out of service,rack failures,racing operators,lost append replies | 1,2 | - |

  Scenario Outline: A build that <fault> fails the check <check>
    # Guards against a check of rollouts that can't fail.
    When a rollout runs on a build that <fault>
    Then the rollout fails the check "<check>"

    Examples:
      | fault                                | check   |
      | counts nothing against a budget      | budget  |
      | schedules tasks on unavailable hosts | leaving |

  Scenario Outline: A wave in which hosts <fail>
    # Guards against a rollout that continues after hosts have failed by it.
    When a rollout runs whose first two hosts <fail>
    Then the rollout is stopped by a record and no host reboots after it
    And the two hosts are recorded as failed

    Examples:
      | fail                          |
      | don't return from the reboot  |
      | fail shortly after the return |

  Scenario Outline: A draining host with a task of <run_s> s
    # Guards against a reboot that interrupts a task which the dispatcher's
    # grants no longer show, and against a drain that waits forever.
    When a host drains while a task of <run_s> s runs on it
    Then the task has <ending> before the reboot

    Examples:
      | run_s | ending            |
      | 30    | finished          |
      | 900   | been checkpointed |

  Scenario: A zone is taken out of service between the drain and the reboot
    # Guards against a reboot when the budget had room only at the start of the
    # drain, and against hosts that stay idle while the pool lacks capacity.
    Given a pool with a drained host whose budget is then used up by a zone
    Then the reboot is put on hold, and the host returns to service without it

  Scenario: A rollout waits for its wave without a scan of all hosts
    # Guards against a scan of all hosts each second for each rollout, and
    # against a rollout that never leaves its first wave.
    Given a pool whose rollout has drained host h4
    Then no host is pending, and the hosts are not scanned
    And 11 hosts are pending once h4 has returned

  Scenario Outline: The wave of a pool with <budget>
    # Guards against waves that are narrower than the budget allows.
    Given a pool of 12 hosts in racks of 4, two of them down, and <budget>
    Then the next wave is <wave>

    Examples:
      | budget                       | wave              |
      | 4 hosts, 1 rack and 1 zone   | h4 h5             |
      | 6 hosts, 1 rack and 1 zone   | h4 h5 h6 h7       |
      | 8 hosts, 2 racks and 1 zone  | h4 h5 h6 h7       |
      | 8 hosts, 2 racks and 2 zones | h4 h5 h6 h7 h8 h9 |
      | 2 hosts, 1 rack and 1 zone   | empty             |
