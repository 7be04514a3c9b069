Feature: Following the log
  The state moves forward only, whatever the log does.

  Scenario Outline: <fault> raises the alarm "<alarm>" and keeps the state
    # Guards against a state that reverts or mixes two histories of the log.
    Given three log readers that have folded 30 records
    When the log fault "<fault>" occurs
    Then the readers raise "<alarm>", keep their state and count as unconfirmed

    Examples:
      | fault                             | alarm             |
      | retention runs out during a cut   | gap               |
      | the log loses its last records    | end-went-backwards |
      | lost records are replaced         | different-record  |
      | a page skips a record             | inconsistent-page |

  Scenario: A sound log clears the alarm
    # Guards against an alarm that stays, and a reader that never catches up.
    Given three log readers that have folded 30 records
    When the log fault "retention runs out during a cut" occurs
    And a snapshot is appended
    Then the readers reach the end of the log without an alarm

  Scenario: Peers bring the state forward only
    # Guards against records folded at the wrong offset, and older snapshots.
    Given three log readers that have folded 30 records
    When the first reader loses the platform and 20 records follow
    Then it ignores records that don't follow and older or damaged snapshots
    And it takes the records that a peer still keeps, and a newer snapshot

  Scenario: Operators race while the fleet loses hosts, answers and the platform
    # Guards against hosts that end in different states, and against a
    # replacement that doesn't find its way from a snapshot.
    When 10 seeded fleets of 9 entry hosts run through races, an outage and short retention
    Then all entry hosts hold the state of the whole log
