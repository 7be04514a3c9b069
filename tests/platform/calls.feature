Feature: Calls of callers on the platform
  A refused call was not executed, and no call is executed for an unknown key.

  Scenario: An unknown key is refused
    # Guards against executing calls of callers that have no valid key.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 1 task is submitted with an unknown key
    Then the call is refused with status 401 as not-run

  Scenario: A withdrawn key stops working
    # Guards against hosts that accept a key after its withdrawal.
    Given a platform fleet of 2 hosts and 1 worker
    When operators withdraw the key
    And 1 s pass
    And a job of 1 task is submitted
    Then the call is refused with status 401 as not-run

  Scenario: All hosts restart right after a key was withdrawn
    # Guards against a restarted host that takes an older configuration, of its
    # own or of a peer, for the present one: the withdrawn key would be in use
    # again.
    Given a platform fleet of 3 hosts and 1 worker
    When operators withdraw the key
    And all hosts are killed and restarted
    And 4 s pass
    And a job of 1 task is submitted
    Then the call is refused with status 401 as not-run

  Scenario: The store rejects a host that restarted after a withdrawal
    # Guards against a host that is served by its peers only and gets an older
    # configuration from them.
    Given a platform fleet of 3 hosts and 1 worker
    When operators withdraw the key
    And all hosts are killed and restarted
    And 4 s pass
    And the store rejects a host
    And 5 s pass
    And a job of 1 task is submitted through that host
    Then the call is refused with status 401 as not-run

  Scenario: Hosts stop accepting keys when none of them can reach the store
    # Guards against accepting a key whose withdrawal no host could have read.
    Given a platform fleet of 2 hosts and 1 worker
    When the store rejects every host
    And 5 s pass
    And a job of 1 task is submitted through that host
    Then the call is refused with status 503 as not-run

  Scenario: A host that the store rejects gets withdrawn keys from a peer
    # Guards against a host that refuses its callers although a peer has the
    # operator records, and against withdrawn keys that work at that host only.
    Given a platform fleet of 3 hosts and 1 worker
    When the store rejects a host
    And 5 s pass
    And a job of 1 task is submitted through that host
    And operators withdraw the key
    And 3 s pass
    And a job of 1 task is submitted through that host
    Then the first call is accepted
    And the call is refused with status 401 as not-run

  Scenario: A job is refused at once while the store is unavailable
    # Guards against callers that wait until their deadline for a sure refusal.
    Given a platform fleet of 2 hosts and 1 worker
    When the store goes down
    And 1 s pass
    And a job of 1 task is submitted
    Then the call is refused with status 503 as not-run
    And no task of the job ever ran

  Scenario: A job is queued behind an append that gets no reply
    # Guards against a host that gives up on the owner before the owner gives up
    # on the store, so that its proof that the job was not stored is lost.
    Given a platform fleet of 2 hosts and 1 worker
    When the store leaves appends without a reply
    And two jobs are submitted 0.1 s apart
    Then the call is refused with status 503 as not-run

  Scenario: A job is submitted while its new owner can't load the partition
    # Guards against callers who are held until their time is used up by an
    # owner that can't serve yet, and against hosts that meanwhile read the list
    # of owners again and again, although it is up to date.
    Given a platform fleet of 2 hosts and 1 worker
    When the store stops returning the newest records
    And all partitions are rebalanced
    And 3 s pass
    And a job of 1 task is submitted through a host that isn't the owner
    Then the call is refused with status 503 as not-run
    And the refusal has the reason owner-loading and came within 0.8 s
    And the store was asked for the owners at most 3 times meanwhile

  Scenario: Many jobs are submitted while their new owner can't load the partition
    # Guards against a last retry that starts long after the time for which
    # callers wait for a loading owner, which depends on the random delays.
    Given a platform fleet of 2 hosts and 1 worker
    When the store stops returning the newest records
    And all partitions are rebalanced
    And 3 s pass
    And 20 jobs are submitted in turn through a host that isn't the owner
    Then each refusal has the reason owner-loading and came within 0.6 s

  Scenario: A job is submitted while its new owner loads the partition
    # Guards against refusing jobs during every short change of the owner.
    Given a platform fleet of 3 hosts and 1 worker
    When the store takes 300 ms for the newest records
    And all partitions are rebalanced
    And a new owner has begun to load the partition
    And a job of 1 task is submitted through a host that isn't the owner
    And 5 s pass
    Then every host reports the job as completed

  Scenario: The same job submitted twice is one job
    # Guards against running a job twice when a caller retries a submission.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 3 tasks is submitted
    And the same job is submitted through every host
    And 5 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario: A queue changes its pool between two submissions of a job
    # Guards against a second job with the same id at the owner of the new pool.
    Given a platform fleet of 2 hosts and 2 workers
    And the second worker belongs to another pool
    When a job of 3 tasks is submitted
    And operators assign the queue to the other pool
    And the same job is submitted through every host
    And 5 s pass
    Then every host reports the job as completed
    And each task ran once

  Scenario Outline: A body that isn't a valid job is refused
    # Guards against bodies that crash a host or are accepted in part.
    When a caller submits <body>
    Then the body is refused because <problem>

    Examples:
      | body                                  | problem                                            |
      | {                                     | Input data was truncated                           |
      | []                                    | Expected `object`, got `array`                     |
      | {"Spec":"x"}                          | missing required field `Phases`                    |
      | {"Phases":[]}                         | 0 steps                                            |
      | {"Phases":[{"Count":0}]}              | 0 tasks                                            |
      | {"Phases":[{"Count":true}]}           | not an integer                                     |
      | {"Phases":[{"Count":1,"After":[0]}]}  | not an earlier one                                 |
      | {"Phases":[{"Count":1,"Cpu":-1}]}     | none may be negative                               |
      | {"Phases":[{"Count":1,"Gang":"yes"}]} | Expected `bool`, got `str` - at `$.Phases[0].Gang` |
      | {"Phases":[{"Count":200000}]}         | at most 100000                                     |

  Scenario Outline: An invalid registration yields no worker
    # Guards against unusable records of other writers in the workers' topic.
    When the workers' topic contains the record <record>
    Then the record yields no worker

    Examples:
      | record                                                        |
      | {                                                             |
      | {}                                                            |
      | {"Service":"a","Address":"no-address","State":"ready"}        |
      | {"Service":"a","Address":"10.0.0.1:80","State":"sleeping"}    |
      | {"Service":7,"Address":"10.0.0.1:80","State":"ready"}         |

  Scenario Outline: Settings are reloaded
    # Guards against a partly written file that stops a running host.
    When the settings file changes to <content> and is reloaded
    Then the maximum age of the configuration is <max_age> s
    And the log contains the event <event>

    Examples:
      | content            | max_age | event                  |
      | RevokeMs of 2500   | 2       | process:reload         |
      | invalid YAML       | 4       | process:reload-refused |

  Scenario Outline: Invalid settings are reported before anything starts
    # Guards against a host that starts with invalid settings.
    When the platform's settings have <field> set to <value>
    Then the error names the setting <field>

    Examples:
      | field                         | value    |
      | Ip                            | 7        |
      | ListenAddrs.Front             | "here"   |
      | InternalPorts                 | [7000]   |
      | platform.parts                | "many"   |
      | Bounds.RevokeMs               | -1       |
      | Limits.CpuShare               | "half"   |
      | Limits.MemoryMb               | 4        |
      | Limits.MaxFds                 | 10       |
      | RequestLimits.MemoryShare     | 0.9      |
      | Autoscaling.OfferedLoad       | 1        |
      | RequestLimits.ConnectionShare | 1        |
      | RequestLimits.HeadTimeoutS    | 0        |
      | RequestLimits.BodyTimeoutS    | "long"   |
      | RequestLimits.WriteTimeoutS   | 3600     |

  Scenario Outline: Settings of a machine with many descriptors
    # Guards against a host that doesn't start where the limit is the largest
    # that a kernel allows, by default or by configuration.
    When the platform's settings have Limits.MaxFds set to <value>
    Then connections may take <connections> descriptors of the machine

    Examples:
      | value      | connections |
      | 1048576    | 524288      |
      | 1073741816 | 536870908   |

  Scenario Outline: The settings say how many cores a host has
    # Guards against large hosts that look small: the share of the processor says
    # little without its speed.
    When the platform's settings have <field> set to <value>
    Then the host has <cores> cores

    Examples:
      | field           | value                       | cores |
      | Limits.CpuShare | 0.75                        | 2.25  |
      | Limits.Cores    | 1                           | 0.5   |
      | Limits.Cores    | null                        | 0.5   |
      | Limits.CpuShare | null                        | 3.0   |

  Scenario Outline: The limits of a machine of <memory> MB fit into it
    # Guards against default limits that together exceed a machine of the sheets.
    When a process starts on a machine of <memory> MB
    Then its limits fit into the machine

    Examples:
      | memory |
      | 160    |
      | 200    |
      | 300    |
      | 552    |

  Scenario: A machine that is too small for its limits
    # Guards against a process that ends by clients within its limits, without a
    # word at its start.
    When a process starts on a machine of 140 MB
    Then it logs that it needs 141 MB
