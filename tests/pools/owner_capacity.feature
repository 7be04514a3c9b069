Feature: Owners by the capacity of hosts
  Large hosts own all partitions; small ones take over when those are gone.

  Scenario: Large hosts own all partitions
    # Guards against small hosts that own a busy pool while large ones idle.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When a job of 6 tasks is submitted
    And 3 s pass
    Then every host reports the job as completed
    And only the first 2 hosts have owned partitions

  Scenario: Equal hosts share the partitions
    # Guards against hosts that stand by although no host is larger.
    Given a platform fleet of 6 hosts and 3 workers
    When 3 s pass
    Then all 6 hosts own partitions

  Scenario: Equal small hosts share the partitions
    # Guards against small hosts that wait for large ones that don't exist.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 0 hosts have 2 cores and the others half a core
    When 3 s pass
    Then all 6 hosts own partitions

  Scenario: All large hosts are killed
    # Guards against partitions without an owner when no large host is left.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And the first 2 hosts are killed
    And 14 s pass
    Then every host reports the job as completed
    And all 4 hosts own partitions
    And each task ran once
    And no invariant was violated on the workers

  Scenario: A job is submitted while all large hosts are down
    # Guards against small hosts that own partitions but don't serve them.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When the first 2 hosts are killed
    And 9 s pass
    And a job of 6 tasks is submitted
    And 4 s pass
    Then the first call is accepted
    And every host reports the job as completed

  Scenario: The large hosts return while tasks run
    # Guards against tasks that run twice when small hosts leave the group, each
    # with partitions that the store may hand to another one that leaves next.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    And tasks run for 4 s
    When the first 2 hosts are killed
    And 9 s pass
    And a job of 6 tasks is submitted
    And the first 2 hosts are started
    And 16 s pass
    Then every host reports the job as completed
    And only the first 2 hosts own partitions
    And each task ran once
    And no invariant was violated on the workers

  Scenario: Large hosts return to a fleet with an owner for each partition
    # Guards against large hosts that never own anything: a member without a
    # partition isn't listed, so the small ones don't learn of it.
    Given a platform fleet of 30 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When the first 2 hosts are killed
    And 12 s pass
    And the first 2 hosts are started
    And 8 s pass
    Then only the first 2 hosts own partitions

  Scenario: All hosts restart at once
    # Guards against small hosts that take the partitions before the large ones.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    And tasks run for 3 s
    When a job of 6 tasks is submitted
    And all hosts are killed and restarted
    And 14 s pass
    Then every host reports the job as completed
    And only the first 2 hosts have owned partitions
    And each task ran once
    And no invariant was violated on the workers

  Scenario: The store is down for a time
    # Guards against small hosts that judge by a list from before the outage, or
    # by an empty one right after it.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When the store is down for 6 s
    And 2 s pass
    And a job of 3 tasks is submitted
    And 4 s pass
    Then every host reports the job as completed
    And only the first 2 hosts have owned partitions

  Scenario: The store rejects the large hosts
    # Guards against partitions without an owner while large hosts run but can't
    # renew their membership.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    And tasks run for 2 s
    When a job of 6 tasks is submitted
    And the store rejects the first 2 hosts
    And 16 s pass
    And the store accepts every host again
    And 6 s pass
    Then every host reports the job as completed
    And only the first 2 hosts own partitions
    And no invariant was violated on the workers

  Scenario: A host that stands by leaves only after the store has answered
    # Guards against a host that joins again in the generation that it is still
    # in: it would append with the sequence numbers of an earlier owner, which
    # the store takes for repetitions.
    Given a platform fleet of 4 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When the first 2 hosts are killed
    And 9 s pass
    And the first 2 hosts are started while answers to leaving are lost for 4 s
    And 6 s pass
    Then only the first 2 hosts own partitions
    And no host owned a partition twice with the same token

  Scenario: A host is stopped while it stands by
    # Guards against a host that doesn't end, or that joins while it ends.
    Given a platform fleet of 6 hosts and 3 workers
    And the first 2 hosts have 2 cores and the others half a core
    When the last host is stopped
    And a job of 6 tasks is submitted
    And 3 s pass
    Then every host reports the job as completed
    And only the first 2 hosts own partitions
