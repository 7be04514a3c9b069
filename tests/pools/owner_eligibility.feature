Feature: Which hosts own partitions
  Small hosts leave the partitions to larger ones, and own them without those.

  Scenario Outline: The role that suits a host
    # Guards against a small host that owns a busy pool while larger ones idle,
    # and against hosts that leave the partitions to too few others.
    Given a host of <cores> cores that is <role>
    When owners of <listed> cores are listed
    Then the host should be <preferred>

    Examples:
      | cores   | role     | listed                | preferred |
      | 0.516   | an owner | 2.151, 2.151          | a standby |
      | 0.516   | an owner | 2.151, 0.516, 0.516   | an owner  |
      | 0.516   | a standby | 2.151, 0.516         | an owner  |
      | 0.516   | a standby | none                 | an owner  |
      | 0.516   | an owner | 1.0, 1.0, 1.0         | an owner  |
      | 1.074   | an owner | 1.074, 1.074, 1.074   | an owner  |
      | 2.151   | an owner | 2.151, 2.151, 0.516   | an owner  |
      | unknown | an owner | 2.151, 2.151          | an owner  |
      | 0.516   | an owner | unknown, unknown      | an owner  |

  Scenario Outline: The number of owners is limited
    # Guards against a large host that joins, gets no partition since each has an
    # owner already, and so never shows up in the list of owners.
    Given a host of <cores> cores that is <role>
    When <listed> owners of 0.5 cores share 24 partitions
    Then the host should be <preferred>

    Examples:
      | cores | role      | listed | preferred |
      | 0.5   | an owner  | 19     | an owner  |
      | 0.5   | an owner  | 20     | a standby |
      | 0.5   | a standby | 15     | an owner  |
      | 0.5   | a standby | 16     | a standby |
      | 0.9   | an owner  | 24     | an owner  |
      | 0.9   | a standby | 24     | an owner  |

  Scenario Outline: A host starts
    # Guards against small hosts that take all partitions when all hosts start
    # at once, and against large ones that wait for each other.
    Given a host of <cores> cores that starts
    Then its role is <role>

    Examples:
      | cores   | role      |
      | 0.516   | a standby |
      | 1.0     | an owner  |
      | 2.151   | an owner  |
      | unknown | an owner  |

  Scenario Outline: The role changes only when the list insists
    # Guards against changes of role by a list that is out of date, as after a
    # restart of all hosts or an outage of the store.
    Given a host of 0.5 cores that is <role>
    When the list of owners is, at intervals of 0.5 s, <lists>
    Then the role in the end is <final>

    Examples:
      | role      | lists                                   | final     |
      | a standby | none, none, none                        | a standby |
      | a standby | none, none, none, none                  | an owner  |
      | a standby | none, none, large, none, none           | a standby |
      | a standby | none, none, old, none, none             | a standby |
      | a standby | old, old, old, old, old                 | a standby |
      | an owner  | large, large                            | an owner  |
      | an owner  | large, large, large                     | a standby |
      | an owner  | large, none, large, large               | an owner  |
      | an owner  | old, old, old, old, old                 | an owner  |

  Scenario Outline: Members say how many cores they have
    # Guards against owners that can't be reached since their text is unreadable.
    When the store lists the member <text>
    Then its address is known and its capacity is <cores>

    Examples:
      | text                              | cores   |
      | 10.0.0.1:7000/ab12/front-1/a/2.15 | 2.15    |
      | 10.0.0.1:7000/ab12/front-1/a      | unknown |
      | 10.0.0.1:7000/ab12/front-1/a/many | unknown |
      | 10.0.0.1:7000/ab12/front-1/a/nan  | unknown |
      | 10.0.0.1:7000/ab12/front-1/a/0    | unknown |
