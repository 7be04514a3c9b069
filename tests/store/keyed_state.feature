Feature: Records of a keyed topic from several sources
  The log, reads of all latest records and peers bring the same records in any
  order. What is newer stays, whichever comes last.

  Scenario: A peer's older records arrive after newer ones of the store
    # Guards against a host that hands out replaced records as the newest ones.
    Given a host that has read config=2 at offset 8, up to offset 9
    When a copy with config=1 at offset 5, complete up to 6, arrives
    Then the host has config=2 and is complete up to 9

  Scenario: A long read of all records ends after a peer's newer copy
    # Guards against newer records of a peer that are overwritten, and then
    # confirmed as current.
    Given a host that has read config=1 at offset 5, up to offset 6
    When a copy with config=2 at offset 8, complete up to 9, arrives
    And a read of all records with config=1 at offset 5, complete up to 6, ends
    Then the host has config=2 and is complete up to 9
    And the changes were config=2

  Scenario: A key is deleted while an older copy is on its way
    # Guards against a zone that stays out of service on one host.
    Given a host that has read zone=out at offset 3, up to offset 4
    When the log continues with zone= at offset 4
    And a copy with zone=out at offset 3, complete up to 4, arrives
    Then the host has nothing and is complete up to 5
    And the changes were zone=

  Scenario: A copy lacks a key that was deleted
    # Guards against a zone that stays out of service on hosts that learn of
    # its return from a peer.
    Given a host that has read zone=out at offset 3, up to offset 4
    When a copy without records, complete up to 5, arrives
    Then the host has nothing and is complete up to 5
    And the changes were zone=

  Scenario: A copy is older than a key that it lacks
    # Guards against a zone that goes back to service on one host only.
    Given a host that has read zone=out at offset 3, up to offset 4
    When a copy without records, complete up to 2, arrives
    Then the host has zone=out and is complete up to 4
    And the changes were none

  Scenario: The pages of a read were served at different moments
    # Guards against a record that is applied twice, or overwritten by the older
    # one that the log brings afterwards.
    When a read of all records with config=3 at offset 9, complete up to 6, ends
    And the log continues with config=2 at offset 7
    And the log continues with config=3 at offset 9
    And the log continues with config=4 at offset 10
    Then the host has config=4 and is complete up to 11
    And the changes were config=3 config=4

  Scenario: Only newer records are handed out
    # Guards against replies that carry the whole configuration to a host that
    # has it already.
    Given a host that has read config=2 at offset 8, up to offset 9
    And the log has continued with zone=out at offset 9
    Then a peer that is complete up to 9 gets zone=out
    And a peer that is complete up to 0 gets config=2 zone=out
    And a peer that is complete up to 10 gets nothing
