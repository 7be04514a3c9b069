Feature: Synchronisation of the configuration between entry hosts
  Every host gets the newest state of any peer that it can reach.

  Scenario: Sync peers are few, stable and cover every zone
    # Guards against a full mesh at the design size, and against a change of
    # most sync peers when one host joins.
    Given 9 zones of 20 entry hosts
    Then each host selects 3 peers in its zone and 2 in each other zone
    And an added host changes at most 1 selected peer of any host
    And no host is selected by more than 60 others

  Scenario: A large fleet is no full mesh
    # Guards against heartbeats to every host, and against a leader or a seat
    # holder of the own zone to which no stream is open.
    Given 9 zones of 20 entry hosts
    Then each host dials at most 45 peers
    And it dials all hosts of its zone and the leader of each zone

  Scenario: A host that is behind gets records in batches
    # Guards against a reply above the frame limit.
    Given a peer that retains 40 records of 100 kB
    When a host without any state synchronises from the peer
    Then it has all records after several replies

  Scenario: A host that is too far behind gets the whole state
    # Guards against a host that waits for records that no peer retains.
    Given a peer that retains no records
    When a host without any state synchronises from the peer
    Then it has installed the peer's snapshot

  Scenario: A host that starts during an outage gets the state from its peers
    # Guards against a restarted host that can't serve until the platform is
    # back.
    Given a fleet in memory with 9 entry hosts
    When a host is restarted during an outage of the platform
    Then it has the newest configuration and serves requests

  Scenario: A host that is cut off from the platform gets new records
    # Guards against a withdrawn key that is still accepted on one host.
    Given a fleet in memory with 9 entry hosts
    When a key is withdrawn while one host is cut off from the platform
    Then that host refuses the key within 5 s
