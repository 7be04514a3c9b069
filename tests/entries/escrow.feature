Feature: Units of team limits move between zones
  Whatever is lost, repeated, late or taken over, no unit is granted twice.

  Scenario: The number running never exceeds the limit
    # Guards against units that two zones grant at a time.
    When zones, transfers, takeovers and limits act in 400 random orders
    Then no order exceeds the limit

  Scenario: The random orders find a lender that deducts late
    # Guards against a state machine that could not find a fault.
    When a lender that deducts after the append acts in 9000 random orders
    Then an order exceeds the limit

  Scenario Outline: What a zone gives
    # Guards against given units that are missed, and against stranded ones.
    Given a zone with <units> units, <running> running and <waiting> waiting
    And a past peak of <peak> in a zone that is <status>
    When another zone lacks <short> units
    Then it gives <given> units

    Examples:
      | units | running | waiting | peak | status | short | given |
      | 16    | 2       | 0       | 2    | in     | 30    | 13    |
      | 16    | 2       | 0       | 2    | in     | 4     | 4     |
      | 16    | 2       | 0       | 12   | in     | 30    | 3     |
      | 16    | 10      | 9       | 10   | in     | 30    | 0     |
      | 4     | 3       | 0       | 3    | in     | 30    | 0     |
      | 16    | 2       | 0       | 12   | out    | 0     | 14    |

  Scenario: Two zones with alternating load don't pass units to and fro
    # Guards against transfers each second that help nobody.
    When two zones take turns of 1 s with 12 of 16 units for 60 s
    Then at most 12 units move to and fro

  Scenario: Zones that lost units to a lowered limit are made up for
    # Guards against parts that add up to more than a lowered limit.
    When a zone gave away 3 units and the limit falls from 8 to 2
    Then the parts of all zones add up to 2

  Scenario: Zones out of service give their units away
    # Guards against units stranded in zones where nothing may start.
    Given a fleet in memory with a team limit of 8 and 3 of 4 zones out
    When 8 requests arrive and 6 s pass
    Then all 8 requests run at the same time
