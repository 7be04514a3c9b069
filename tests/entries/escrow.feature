Feature: Zones transfer units of team limits
  Takeovers and lost, repeated or late appends never grant a unit twice.

  Scenario: The number running never exceeds the limit
    # Guards against units that two zones grant at the same time.
    When zones, transfers, takeovers and limits act in 400 random sequences
    Then no sequence exceeds the limit

  Scenario: The random sequences detect a source zone that deducts too late
    # Guards against a state machine that can't detect a fault.
    When a source that deducts after the append acts in 9000 random sequences
    Then a sequence exceeds the limit

  Scenario Outline: Units that a zone transfers
    # Guards against transfers of units that the zone needs itself, and against
    # unused units that stay in it.
    Given a zone with <units> units, <running> running and <waiting> waiting
    And a recent peak of <peak> in a zone that is <status>
    When another zone has a shortage of <short> units
    Then it transfers <moved> units

    Examples:
      | units | running | waiting | peak | status | short | moved |
      | 16    | 2       | 0       | 2    | in     | 30    | 13    |
      | 16    | 2       | 0       | 2    | in     | 4     | 4     |
      | 16    | 2       | 0       | 12   | in     | 30    | 3     |
      | 16    | 10      | 9       | 10   | in     | 30    | 0     |
      | 4     | 3       | 0       | 3    | in     | 30    | 0     |
      | 16    | 2       | 0       | 12   | out    | 0     | 14    |

  Scenario: Two zones with alternating load don't transfer units back and forth
    # Guards against transfers each second that bring no benefit.
    When two zones alternate every 1 s with a load of 12 of 16 units for 60 s
    Then at most 12 units are transferred

  Scenario: The units of all zones add up to a lowered limit
    # Guards against zones whose units add up to more than the limit after
    # transfers.
    When a zone has transferred 3 units and the limit falls from 8 to 2
    Then the units of all zones add up to 2

  Scenario: Zones out of service transfer their units
    # Guards against units that stay in zones where nothing may start.
    Given a fleet in memory with a team limit of 8 and 3 of 4 zones out of service
    When 8 requests arrive and 6 s pass
    Then all 8 requests run at the same time
