Feature: Commands of the host controller
  Pool owners send requests; the cap of the wave and the host state decide.

  Scenario: The cap of a wave holds for any requests of pool owners
    # Guards against exceeding the cap when owners split it by different host
    # lists while hosts move between pools.
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    When 4 s pass for the host controller
    And maintenance of all hosts is requested
    Then 2 hosts begin maintenance
    When 3 s pass for the host controller
    And maintenance of all hosts is requested
    Then 4 hosts have begun maintenance

  Scenario: A command without a response counts against the cap
    # Guards against exceeding the cap when an unanswered command takes a host
    # down later.
    Given a wave over 4 hosts with a cap of 1 and a new host controller
    When 4 s pass for the host controller
    And the next command gets no response
    And maintenance of all hosts is requested
    And 3 s pass for the host controller
    And maintenance of all other hosts is requested
    Then 0 hosts begin maintenance

  Scenario: Hosts that the previous owner took down count against the cap
    # Guards against exceeding the cap after a change of owner, and against two
    # owners that send commands to one host in turn.
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    And the previous owner has just sent commands to 2 hosts
    When maintenance of all hosts is requested
    Then 0 hosts begin maintenance
    When 4 s pass for the host controller
    And maintenance of all hosts is requested
    Then 2 hosts begin maintenance

  Scenario: A new owner goes on with a wave at once
    # Guards against a wave that loses seconds at each change of owner, which it
    # lacks at its end (trouble-1 and trouble-2 of a deployment of 40 workers).
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    And the previous owner has just sent commands to 1 host
    When maintenance of all hosts is requested
    Then 1 hosts begin maintenance
    And none of them got a command from the previous owner

  Scenario: The commands of the previous owner can't be read
    # Guards against commands of two owners that don't know of each other's.
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    And the store can't tell the previous owner's commands
    When maintenance of all hosts is requested
    Then 0 hosts begin maintenance

  Scenario: No command is sent if its record cannot be stored
    # Guards against commands that the next owner does not know of.
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    When 4 s pass for the host controller
    And the store rejects all records
    And maintenance of all hosts is requested
    Then 0 hosts begin maintenance

  Scenario: A host is suspended while it records a move
    # Guards against a move that is sent after another owner has taken over: a
    # process that was paused for seconds goes on where it stopped.
    Given a wave over 1 hosts with a cap of 1 and a new host controller
    When a pool releases a host
    Then 1 host is moved
    When 4 s pass for the host controller
    And the host is suspended while the next record is stored
    And a pool releases a host
    Then 1 host is moved
    And the pool is told that nothing was done

  Scenario: A host is suspended while it records maintenance
    # Guards against taking a host down after another owner has taken over.
    Given a wave over 4 hosts with a cap of 2 and a new host controller
    When 4 s pass for the host controller
    And the host is suspended while the next record is stored
    And maintenance of all hosts is requested
    Then 0 hosts begin maintenance

  Scenario: The previous owner of a pool asks to turn a host off
    # Guards against a request that was delayed until the next owner has started
    # tasks on the host.
    Given a wave over 1 hosts with a cap of 1 and a new host controller
    When the next owner of the pool has reported its load
    And a pool releases a host
    Then 0 host is moved
    And the pool is told that nothing was done

  Scenario: Another worker runs on a host than the one that was drained
    # Guards against a command that takes down the tasks of a worker that has
    # replaced the drained one: it crashed, or its host was moved.
    Given a wave over 4 hosts with a cap of 4 and a new host controller
    When 4 s pass for the host controller
    And maintenance is requested for workers that ran there before
    Then 0 hosts begin maintenance

  Scenario: The previous owner of a pool asks for maintenance
    # Guards against a request that was delayed until the next owner has started
    # tasks on the host.
    Given a wave over 4 hosts with a cap of 4 and a new host controller
    When 4 s pass for the host controller
    And the next owner of the pool has reported its load
    And maintenance of all hosts is requested
    Then 0 hosts begin maintenance

  Scenario: The owner of a pool is replaced while its request is carried out
    # Guards against a command that is sent after a slow append, when the next
    # owner has started tasks on the host.
    Given a wave over 4 hosts with a cap of 4 and a new host controller
    When 4 s pass for the host controller
    And the next owner reports its load while the next record is stored
    And maintenance of all hosts is requested
    Then 0 hosts begin maintenance

  Scenario: The owner of a pool is replaced while its host is being released
    # Guards against moving a host on which the next owner has started tasks.
    Given a wave over 1 hosts with a cap of 1 and a new host controller
    When 4 s pass for the host controller
    And the next owner reports its load while the next record is stored
    And a pool releases a host
    Then 0 host is moved
    And the pool is told that nothing was done
