Feature: Following the log
  The state never goes back to a lower offset, whatever the log returns.

  Scenario Outline: <fault> raises the alarm "<alarm>" and keeps the state
    # Guards against a state that goes back or mixes two histories of the log.
    Given three log readers that have folded 30 records
    When the log fault "<fault>" occurs
    Then the readers raise "<alarm>", keep their state and count as unconfirmed

    Examples:
      | fault                             | alarm             |
      | records expire during a partition | gap               |
      | the log loses its last records    | end-went-backwards |
      | lost records are replaced         | different-record  |
      | a page skips a record             | inconsistent-page |

  Scenario: A healthy log clears the alarm
    # Guards against an alarm that is never cleared, and against a reader that
    # never catches up.
    Given three log readers that have folded 30 records
    When the log fault "records expire during a partition" occurs
    And a snapshot is appended
    Then the readers reach the end of the log without an alarm

  Scenario: Peers can only advance the state
    # Guards against records folded at the wrong offset, and against older
    # snapshots that replace the state.
    Given three log readers that have folded 30 records
    When the first reader is disconnected and 20 records are appended
    Then it ignores records after a gap and older or corrupt snapshots
    And it applies recent records of a peer and installs a newer snapshot

  Scenario: Operators race while hosts, replies and the platform fail
    # Guards against hosts that reach different states, and against a replacement
    # host that can't start from a snapshot.
    When 10 seeded fleets of 9 entry hosts go through races, an outage and short retention
    Then all entry hosts have the state of the whole log
