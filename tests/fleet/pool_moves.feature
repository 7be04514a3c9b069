Feature: Moves of hosts between pools
  A host leaves its pool, drains and joins the next one; it is in exactly one pool
  at any time.

  Scenario Outline: Moves under <faults>
    # Guards against a host in two pools, new tasks on a host that is leaving its
    # pool, and a move that never completes.
    When operators race to move hosts between pools under <faults>
    Then each host ends in the pool of the first accepted move
    And the records of the moves show no violation

    Examples:
      | faults                                      |
      | no other fault                              |
      | kills of entry hosts                        |
      | outages of the platform,lost append replies |
      | zones taken out of service                  |

  Scenario: A host that fails during a move
    # Guards against a move that waits for a dead host forever.
    When a host fails while it is leaving its pool
    Then it joins its next pool and is recorded as failed there
