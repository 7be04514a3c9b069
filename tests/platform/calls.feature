Feature: Calls of callers on the platform
  Refusals are true, and no call is carried out for a key that isn't known.

  Scenario: An unknown key is refused
    # Guards against work for callers without a key.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 1 task is submitted with an unknown key
    Then the call is refused with status 401 as not-run

  Scenario: A withdrawn key stops working
    # Guards against keys that hosts go on accepting.
    Given a platform fleet of 2 hosts and 1 worker
    When operators withdraw the key
    And 1 s pass
    And a job of 1 task is submitted
    Then the call is refused with status 401 as not-run

  Scenario: Hosts that have all lost the store stop accepting keys
    # Guards against a withdrawn key that works at a host that can't know of it.
    Given a platform fleet of 2 hosts and 1 worker
    When every host is turned away by the store
    And 5 s pass
    And a job of 1 task is submitted through that host
    Then the call is refused with status 503 as not-run

  Scenario: A host that is turned away learns of withdrawn keys from another
    # Guards against a host that refuses its callers though another one knows
    # what operators published, and against keys that work at just that host.
    Given a platform fleet of 3 hosts and 1 worker
    When a host is turned away by the store
    And 5 s pass
    And a job of 1 task is submitted through that host
    And operators withdraw the key
    And 3 s pass
    And a job of 1 task is submitted through that host
    Then the first call is accepted
    And the call is refused with status 401 as not-run

  Scenario: A job is refused at once while the store takes nothing
    # Guards against callers that wait until their deadline for a certain no.
    Given a platform fleet of 2 hosts and 1 worker
    When the store goes down
    And 1 s pass
    And a job of 1 task is submitted
    Then the call is refused with status 503 as not-run
    And no task of it ever ran

  Scenario: The same job submitted twice is one job
    # Guards against doubled work when a caller repeats a call.
    Given a platform fleet of 2 hosts and 1 worker
    When a job of 3 tasks is submitted
    And the same job is submitted through every host
    And 5 s pass
    Then the job is shown as completed by every host
    And each task ran once

  Scenario: A queue goes to another pool between two submissions of a job
    # Guards against a second job under the same id at the new pool's owner.
    Given a platform fleet of 2 hosts and 2 workers
    And the second worker belongs to another pool
    When a job of 3 tasks is submitted
    And operators give the queue to the other pool
    And the same job is submitted through every host
    And 5 s pass
    Then the job is shown as completed by every host
    And each task ran once

  Scenario Outline: A body that isn't a job is refused
    # Guards against bodies that stop a host or are half accepted.
    When a caller submits <body>
    Then the body is refused because <problem>

    Examples:
      | body                                      | problem                  |
      | {                                         | Input data was truncated |
      | []                                        | list                     |
      | {"Spec":"x"}                              | Phases is missing        |
      | {"Phases":[]}                             | 0 steps                  |
      | {"Phases":[{"Count":0}]}                  | 0 tasks                  |
      | {"Phases":[{"Count":true}]}               | not an integer           |
      | {"Phases":[{"Count":1,"After":[0]}]}      | not an earlier one       |
      | {"Phases":[{"Count":1,"Cpu":-1}]}         | none may be negative     |
      | {"Phases":[{"Count":1,"Gang":"yes"}]}     | not a bool               |
      | {"Phases":[{"Count":200000}]}             | at most 100000           |

  Scenario Outline: A worker's entry that can't be used names no worker
    # Guards against entries of other writers in the list of workers.
    When the list of workers has the entry <entry>
    Then the entry names no worker

    Examples:
      | entry                                                         |
      | {                                                             |
      | {}                                                            |
      | {"Service":"a","Address":"no-address","State":"ready"}        |
      | {"Service":"a","Address":"10.0.0.1:80","State":"sleeping"}    |
      | {"Service":7,"Address":"10.0.0.1:80","State":"ready"}         |

  Scenario Outline: Settings are read anew
    # Guards against a file that is half written and stops a running host.
    When the settings file changes to <content> and is read anew
    Then the bound on the age of the configuration is <bound> s
    And the log has the line <line>

    Examples:
      | content            | bound | line                   |
      | RevokeMs of 2500   | 2     | process:reload         |
      | an unreadable text | 4     | process:reload-refused |

  Scenario Outline: Bad settings are named before anything starts
    # Guards against a host that starts with settings it can't use.
    When the platform's settings have <field> set to <value>
    Then the problem names <field>

    Examples:
      | field             | value    |
      | Ip                | 7        |
      | ListenAddrs.Front | "here"   |
      | InternalPorts     | [7000]   |
      | platform.parts    | "many"   |
      | Bounds.RevokeMs   | -1       |
