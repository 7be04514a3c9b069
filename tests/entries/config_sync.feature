Feature: Relay of the configuration between entry hosts
  The newest state that any reachable peer has reaches every host.

  Scenario: Contacts are few, steady and cover every zone
    # Guards against a full mesh at the design size, and against a change of
    # most contacts when one host comes.
    Given 9 zones of 20 entry hosts
    Then each host has 3 contacts in its zone and 2 in each other zone
    And one more host changes at most 1 contact of any host
    And no host is the contact of more than 60 others

  Scenario: A large fleet is no full mesh
    # Guards against heartbeats to every host, and against a duty holder or a
    # seat holder of the own zone to which no stream is kept.
    Given 9 zones of 20 entry hosts
    Then each host dials at most 45 peers
    And it dials all of its zone and the holder of each duty seat

  Scenario: A host that is behind gets records in parts
    # Guards against an answer above the frame limit.
    Given a peer that keeps 40 records of 100 kB
    When a host without a state follows the peer
    Then it has all records after several answers

  Scenario: A host that is too far behind gets the whole state
    # Guards against a host that waits for records that no peer keeps.
    Given a peer that keeps no records
    When a host without a state follows the peer
    Then it has taken the peer's snapshot

  Scenario: A host that starts during an outage gets the state from its peers
    # Guards against a replaced host that is useless until the platform returns.
    Given a fleet in memory with 9 entry hosts
    When a host is restarted during an outage of the platform
    Then it has the newest configuration and serves requests

  Scenario: A host that is cut off from the platform follows the log
    # Guards against a withdrawn key that goes on working on one host.
    Given a fleet in memory with 9 entry hosts
    When a key is withdrawn while one host is cut off from the platform
    Then that host refuses the key within 5 s
