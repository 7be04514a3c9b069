Feature: Moves of hosts between pools
  A host leaves, drains and joins, and is in exactly one pool at any time.

  Scenario Outline: Moves under <faults>
    # Guards against a host in two pools, a host that takes work while it
    # leaves, and a move that never ends.
    When operators race to move hosts between pools under <faults>
    Then each host ends in the pool of the first accepted move
    And the records of the moves show no violation

    Examples:
      | faults                                      |
      | no other fault                              |
      | kills of entry hosts                        |
      | outages of the platform,lost append answers |
      | zones taken out                             |

  Scenario: A host that dies on the move
    # Guards against a move that waits for a dead host for ever.
    When a host dies while it leaves its pool
    Then it joins its next pool and is recorded as failed there
