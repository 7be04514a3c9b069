Feature: Configuration in force on every host
  A change that the store has acknowledged is in force on every host within the
  platform's limit, or the host refuses calls as not run. Callers take 401, 403
  and 404 as final, so only a host that knows the newest version may send them.

  Scenario Outline: A host with an outdated configuration refuses calls as not run
    # Guards against callers that are turned away for good, or served although
    # they must not be, by a version that was replaced long before.
    Given a platform fleet of 2 hosts and 1 worker
    When the next configuration has <before>
    And 1 s pass
    And the store rejects every host
    And 2 s pass
    And the next configuration has <after>
    And 3 s pass
    And a caller asks for the pending jobs of <path>
    Then the call is refused with status 503 as not-run

    Examples:
      | before         | after          | path     |
      | no other queue | a queue        | /added/  |
      | no other queue | a public queue | /added/  |
      | a public queue | no other queue | /added/  |
      | a public queue | a queue        | /added/  |
      | a queue        | no other queue | /added/  |

  Scenario Outline: A host that knows the newest configuration refuses for good
    # Guards against callers that are told to come back for a queue that doesn't
    # exist.
    Given a platform fleet of 2 hosts and 1 worker
    When the next configuration has <queue>
    And 1 s pass
    And a caller asks for the pending jobs of <path>
    Then the call is refused with status 404 as not-run

    Examples:
      | queue          | path      |
      | no other queue | /added/   |
      | a public queue | /missing/ |

  Scenario Outline: The oldest configuration that may decide follows both limits
    # Guards against a host that decides by a version that was replaced earlier
    # than the platform's limit on changes, since that on keys is longer.
    When the platform's settings have <field> set to <value>
    Then the maximum age of the configuration is at most <max_age> s

    Examples:
      | field           | value | max_age |
      | Bounds.ConfigMs | 2000  | 2       |
      | Bounds.ConfigMs | 3000  | 3       |
      | Bounds.ConfigMs | 9000  | 5       |
      | Bounds.RevokeMs | 1500  | 1.5     |

  Scenario: A large configuration changes twice behind slow links
    # Guards against hosts that fall behind by seconds, since replies of peers
    # that were given up share their link with the records of the store.
    Given a platform fleet of 12 hosts and 1 worker
    And 10 hosts are behind links of 600 KB a second
    When 4400 more queues are configured
    And 4 s pass
    And 4401 more queues are configured
    And 4 s pass
    Then each host had both versions within 3 s
    And no host was out of date for 3 s
    And no host received more than twice the size of both versions

  Scenario: Peers ask a host for the records of operators
    # Guards against a host that hands out a replaced version to hosts that
    # can't reach the store, and so brings it back into force there.
    Given a host that has version 2 of the configuration from the store
    When a peer's reply with version 1, confirmed later, arrives
    Then the host decides by version 2 and hands out version 2

  Scenario: A zone is taken out while the owner can't read the operators' records
    # Guards against tasks that start in a zone that operators have taken out, as
    # the owner of the pool doesn't notice that it is out of date.
    Given a platform fleet of 2 hosts and 1 worker
    And tasks run for 6 s
    When a job of 1 tasks and then 1 tasks is submitted
    And the store leaves reads of the log without a reply
    And operators take the zone of all workers out of service
    And 9 s pass
    Then 1 run of the job was started

  Scenario: The owner reads the operators' records again
    # Guards against an owner that starts nothing any more after an outage.
    Given a platform fleet of 2 hosts and 1 worker
    And tasks run for 6 s
    When a job of 1 tasks and then 1 tasks is submitted
    And the store leaves reads of the log without a reply
    And 9 s pass
    And the store replies again
    And 9 s pass
    Then 2 runs of the job were started
    And every host reports the job as completed

  Scenario: The newest configuration can't be decoded
    # Guards against a host that decides by a replaced version, since it can't
    # read the one in force.
    Given a platform fleet of 2 hosts and 1 worker
    When operators publish a configuration that can't be decoded
    And 1 s pass
    And a caller asks for the pending jobs of /added/
    Then the call is refused with status 503 as not-run

  Scenario: A configuration that can't be decoded is replaced
    # Guards against a host that refuses calls after operators have corrected
    # the configuration.
    Given a platform fleet of 2 hosts and 1 worker
    When operators publish a configuration that can't be decoded
    And 1 s pass
    And the next configuration has no other queue
    And 1 s pass
    And a caller asks for the pending jobs of /added/
    Then the call is refused with status 404 as not-run

  Scenario: The store answers and nothing changes
    # Guards against hosts that refuse calls, or ask peers for records, between
    # two polls of a store that answers in time.
    Given a platform fleet of 3 hosts and 1 worker
    When the next configuration has no other queue
    And 10 s pass
    Then no host was out of date for 1.77 s
    And no host fetched records from a peer
