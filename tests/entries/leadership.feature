Feature: Confirmation of a leader seat
  A leader acts only while its state is confirmed to be current.

  Scenario: A paused process acts only after a fresh read of the log
    # Guards against a resumed process that grants before its ticker runs, or
    # after a reply to a log read that was sent before the pause.
    Given a leader seat that became active
    When the process is paused for 5 s
    Then the leader seat is not confirmed, although its peers send heartbeats
    When the reply to a log read from before the pause arrives
    Then the leader seat is not confirmed, although its peers send heartbeats
    When the log is read to its end
    Then the leader seat is confirmed

  Scenario: A peer with a higher offset does not confirm the seat
    # Guards against a leader that trusts a peer which has applied a takeover.
    Given a leader seat that became active
    When the log was last read 2 s ago and a peer's offset is ahead by 1
    Then the leader seat is not confirmed

  Scenario: A suspended process whose seat is taken over runs nothing twice
    # Guards against a resumed leader that acts on its previous seat. Uses real
    # processes; the checks count executions and don't measure time.
    Given a fleet of processes with 6 entry hosts
    When its leader of zone a is suspended under load until it is replaced
    Then another host holds the leader seat of zone a
    And every request ran at most once and every outcome is correct
