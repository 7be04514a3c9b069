Feature: Allocation of hosts by the loads that pools report
  Hosts that one pool releases move directly to the pool that lacks them.

  Scenario: A released host moves to the pool that lacks one
    # Guards against a second move by way of the spare pool.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    Then pool b should release 5 hosts, of which 2 are wanted
    And the next hosts released by b move to a, a and the spare pool
    And 2 hosts are on their way to pool a

  Scenario: Hosts on their way are not sent a second time
    # Guards against more hosts than a pool asked for, when the reply that told
    # of them was lost or its next report was sent before.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    When a host released by b moves to a
    And pool a reports once more
    Then the next hosts released by b move to a and the spare pool

  Scenario: A host on its way is counted once
    # Guards against a host that the pool and the allocator both count.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    When a host released by b moves to a
    And pool a counts them and reports once more
    Then 0 hosts are on their way to pool a
    And the next hosts released by b move to a and the spare pool

  Scenario: A host that has left its pool is counted where it goes
    # Guards against a host that two pools count, so that a third one is told to
    # wait for hosts that don't exist.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    And pool b is releasing 2 hosts besides
    When a host released by b moves to a
    Then the pools have 15 hosts in all

  Scenario: The owner of a pool changes after many moves
    # Guards against a new owner that counts all hosts that were ever sent to its
    # pool as on their way (32 on scale-1 of hsab-sched), so that no other pool and
    # not even its own gets any.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    When a host released by b moves to a
    And a host released by b moves to a
    And 5 s pass for the reported loads
    And a new owner reports pool a with 4 hosts
    And pool b reports once more
    Then 0 hosts are on their way to pool a
    And the next hosts released by b move to a, a and the spare pool

  Scenario: Spare hosts are used before hosts of other pools
    # Guards against taking hosts from pools while others are turned off.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    And 3 hosts are spare
    Then pool b should release 5 hosts, of which 0 are wanted
    And the next host released by b moves to the spare pool

  Scenario: A pool does not receive its own hosts
    # Guards against moving a host to the pool that released it.
    Given pool a has 4 hosts and needs 6
    Then the next host released by a moves to the spare pool

  Scenario: A load expires unless it is reported again
    # Guards against sending hosts for a burst that has ended, and against taking
    # hosts from a pool whose owner is gone.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    When 2 s pass for the reported loads
    Then the next host released by b moves to the spare pool
    When pool a reports once more
    Then only pool a has a size

  Scenario: A new owner of the hosts partition counts sent hosts anew
    # Guards against hosts that a pool counts as on their way although the
    # present owner never sent them, and the other way round.
    Given pool a has 4 hosts and needs 6
    And pool b has 9 hosts and needs 4
    When a host released by b moves to a
    And another owner takes over the hosts partition
    And pool a reports once more
    And pool b reports once more
    Then the next hosts released by b move to a, a and the spare pool

  Scenario: A report of a pool's previous owner arrives late
    # Guards against a process that was paused and reports a load that is no
    # longer true.
    Given pool a has 4 hosts and needs 6
    When the next owner of pool a reports 9 hosts
    And pool a reports once more
    Then pool a has 9 hosts for the allocator
