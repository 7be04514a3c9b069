Feature: Membership of the owners' group
  A host joins, renews and leaves the group as its role says.

  Scenario: The store doesn't answer a host that leaves
    # Guards against a host that joins again in the generation that it is still
    # in: it would get the tokens that it has given up, and append with sequence
    # numbers that the store has seen.
    Given a host of half a core that owns a partition
    When larger owners are listed and the store answers no call about leaving
    And larger owners are gone again before the store answers
    Then the host left the group before it joined again
    And it never owned the partition twice with the same token

  Scenario: A host gives up its partitions as it leaves
    # Guards against an owner that goes on after it has left.
    Given a host of half a core that owns a partition
    When larger owners are listed for 3 s
    Then the host owns nothing and isn't a member

  Scenario: A join is under way when the host is stopped
    # Guards against a membership without a host: the join may be executed after
    # the call that leaves.
    Given a host of half a core that owns a partition
    When it is stopped while a join is under way
    Then the host owns nothing and isn't a member

  Scenario: A host is stopped that never joined
    # Guards against a stop that waits for a store which can't be reached.
    Given a host of half a core that stands by
    When it is stopped
    Then the store got no call about leaving

  Scenario Outline: The group changes while renewals fail
    # Guards against an owner that goes on with what it knew before another host
    # has owned its partition, however short its membership was in doubt, and
    # against owners that load their partitions anew at each change of the group.
    Given a host of half a core that owns a partition
    When the group changes while renewals <fail> for <time> s
    And meanwhile another host <has> opened the partition
    Then the host <action>

    Examples:
      | fail         | time | has     | action                   |
      | are rejected | 0    | has not | kept the partition       |
      | are rejected | 1    | has not | kept the partition       |
      | are rejected | 3    | has not | kept the partition       |
      | get no reply | 1    | has not | kept the partition       |
      | get no reply | 3    | has not | kept the partition       |
      | are rejected | 0    | has     | took the partition anew  |
      | are rejected | 1    | has     | took the partition anew  |
      | are rejected | 3    | has     | took the partition anew  |
      | get no reply | 1    | has     | took the partition anew  |
      | get no reply | 3    | has     | took the partition anew  |

  Scenario Outline: The group stays as it is while renewals fail
    # Guards against an outage of the store after which all owners load their
    # partitions although none has changed hands.
    Given a host of half a core that owns a partition
    When the group is unchanged while renewals <fail> for <time> s
    Then the host kept the partition

    Examples:
      | fail         | time |
      | are rejected | 3    |
      | get no reply | 3    |
