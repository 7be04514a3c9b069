Feature: The fold of log records
  Folding the same records gives all hosts the same state, and no record can
  violate a rule.

  Scenario: Random records never violate an invariant
    # Guards against a record that puts a host in two pools, exceeds a budget,
    # changes the sum of the units of a limit or reverts a newer version, and
    # against a state that depends on how the log was split into reads.
    When a state machine folds random valid, stale, repeated and malformed records
    Then no invariant of the fold is violated

  Scenario Outline: The state machine detects a fold that <fault>
    # Guards against invariant checks that never fail.
    When the state machine runs on a fold that <fault>
    Then an invariant violation of the fold is reported

    Examples:
      | fault                        |
      | ignores versions             |
      | ignores repeated ids         |
      | ignores budgets              |
      | changes pools without a move |
      | accepts lower offsets        |
      | ignores incarnations         |
      | divides a limit anew         |
      | modifies earlier states      |

  Scenario: Ids and versions of replaced hosts are pruned
    # Guards against ids and versions that accumulate without bound, and against
    # a repeated record that is accepted because its id was dropped too early.
    When 16000 hosts are added and removed under new names
    Then the state keeps at most 24096 ids and 13000 versions
    And the last 19999 ids are known and the first id is dropped
    And the versions of existing subjects are kept

  Scenario Outline: A record that violates a rule is refused with the invalid value
    # Guards against a missing rule, and against error messages that don't name
    # the invalid value.
    Given a folded fleet of two zones, two pools and three hosts
    When a <kind> record of <subject> with <fields> is folded
    Then the fold refuses it with a detail that contains <named>

    Examples:
      | kind     | subject | fields                                                        | named          |
      | queue    | q       | {"pool": "p9"}                                                | pool 'p9'      |
      | key      | k       | {"team": "t9"}                                                | team 't9'      |
      | host     | h0      | {"pool": "p1", "zone": "z0", "rack": "r", "address": ["a", 1]} | by a move      |
      | host     | h9      | {"pool": "p0", "zone": "z9", "rack": "r", "address": ["a", 1]} | zone 'z9'      |
      | zone     | z0      | {"index": 5}                                                  | never changes  |
      | zone     | z2      | {"index": 0}                                                  | unique         |
      | zone     | z0      | {}                                                            | 3 hosts        |
      | pool     | p0      | {}                                                            | 3 hosts        |
      | team     | t0      | {"share": -1.0, "limit": 5}                                   | share -1.0     |
      | team     | t0      | {"share": 1.0, "limit": -5}                                   | limit -5       |
      | team     | t0      | {}                                                            | keys need it   |
      | drain    | h0      | {"state": "drained"}                                          | ['granted', 'failed'] |
      | drain    | h1      | {"state": "granted"}                                          | max_unavailable |
      | drain    | h2      | {}                                                            | 'returned'     |
      | move     | h1      | {"to_pool": "p0", "state": "leaving"}                         | already        |
      | move     | h0      | {"to_pool": "p1", "state": "joined"}                          | 'leaving'      |
      | rollout  | r       | {"pool": "p9", "change": "kernel"}                            | pool 'p9'      |
      | seat     | z0/1    | {"zone": "z0", "number": 2, "host": "e", "address": ["a", 1]} | 'z0/2'         |
      | seat     | z0/1000 | {"zone": "z0", "number": 1000, "host": "e", "address": ["a", 1]} | 999         |
      | seat     | z1/0    | {"zone": "z1", "number": 0, "host": "e0", "address": ["a", 1]} | 'z0/0'        |
      | transfer | z0      | {"incarnation": 1, "to_zone": "z1", "units": {"t0": 1}}       | incarnation 1  |
      | transfer | z0      | {"incarnation": 9, "to_zone": "z1", "units": {"t0": 6}}       | allowed are 1 to 5 |
      | transfer | z0      | {"incarnation": 9, "to_zone": "z9", "units": {"t0": 1}}       | zone 'z9'      |
