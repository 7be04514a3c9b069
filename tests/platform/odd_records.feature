Feature: Records and messages that no decoder expects
  Others write to the topics that hosts read, and peers may run another build.
  Any bytes give a typed value or a rejection; none ends a process or stops it
  from following a topic.

  Scenario Outline: Arbitrary bytes are decoded or rejected
    # Guards against processes that end, or stop following the list of workers,
    # because of one record with deeply nested values, numbers that are too
    # large, or a port out of range.
    Then <decoder> returns a value of its type or a rejection for any bytes

    Examples:
      | decoder                 |
      | worker registration     |
      | configuration           |
      | maintenance wave        |
      | status of a worker      |
      | list of hosts           |
      | advice                  |
      | page of the log         |
      | latest records          |
      | group membership        |
      | list of owners          |
      | frame between hosts     |
      | packed records          |
      | body of a job           |
      | member of a group       |
      | stored job              |
      | stored progress         |

  Scenario Outline: A registration with values that no worker can have
    # Guards against tasks that are placed by a capacity or an address that
    # can't exist.
    When the workers' topic contains a registration whose <field> is <value>
    Then the record yields no worker

    Examples:
      | field    | value                                    |
      | Capacity | {"Cpu":-1}                               |
      | Capacity | {"Cpu":1e400}                            |
      | Capacity | {"Cpu":99999999999999999999999999999999} |
      | Capacity | []                                       |
      | Capacity | {"Cpu":true}                             |
      | Address  | "10.0.0.1:0"                             |
      | Address  | "10.0.0.1:99999"                         |
      | Address  | "10.0.0.1:-80"                           |
      | Address  | 7                                        |
      | Labels   | "abc"                                    |
      | Labels   | [["a"]]                                  |
      | Service  | ""                                       |
      | State    | ["ready"]                                |
      | born     | -1                                       |
      | born     | 1.5                                      |
      | born     | null                                     |
      | Address  | "fe80::1%a\r\nx: y:80"                 |

  Scenario Outline: A registration under <id>
    # Guards against a worker that can never be asked: its id is sent in a
    # header, which can't carry control characters or outer spaces.
    When the workers' topic contains a registration under <id>
    Then the record yields <what>

    Examples:
      | id                   | what      |
      | "i-1"                | a worker  |
      | "máy-in-hoá-đơn-1"   | a worker  |
      | "i-1\r\nkey: value" | no worker |
      | "i-1\u0000"          | no worker |
      | " i-1"               | no worker |
      | ""                   | no worker |

  Scenario: Odd entries beside those of workers and operators
    # Guards against hosts that stop, or follow a topic no more, because of one
    # entry of another writer.
    Given a platform fleet of 2 hosts and 1 worker
    When another writer leaves odd entries in the topics
    And 2 s pass
    And 3 more queues are configured
    And 2 s pass
    And a job of 3 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
    And every host still follows both topics
    And the log names each odd entry

  Scenario Outline: An entry of <service> under <id> in the list of workers
    # Guards against an owner that fails again and again, so that no task of its
    # pools starts, because the id of another writer's entry can't be encoded.
    Given a platform fleet of 2 hosts and 1 worker
    When another writer leaves an entry of <service> under <id>
    And 2 s pass
    And a job of 3 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
    And no owner has failed
    And the entry is <handled>

    Examples:
      | service                      | id                   | handled   |
      | the pool                     | "máy-in-hoá-đơn-1"   | polled    |
      | the pool                     | "i-1\r\nkey: value" | not found |
      | no pool, in the partition    | "máy-in-hoá-đơn-1"   | ignored   |
      | no pool, in the partition    | "máy-1"              | ignored   |
      | no pool, in the hosts' one   | "máy-in-hoá-đơn-1"   | ignored   |

  Scenario: A pool is configured after its worker has registered
    # Guards against a worker that is ignored for good because its entry was read
    # before the configuration that names its pool.
    Given a platform fleet of 2 hosts and 1 worker
    When another writer leaves an entry of no pool, in the partition under "i-7"
    And 1 s pass
    And operators configure the pool of that entry
    And 2 s pass
    Then the entry is polled

  Scenario: A worker registers under an id that isn't ASCII
    # Guards against a worker whose calls name another instance than its own.
    Given a platform fleet of 2 hosts and 1 worker
    And the worker's id is "máy-in-hoá-đơn-1"
    When a job of 3 tasks is submitted
    And 5 s pass
    Then every host reports the job as completed
