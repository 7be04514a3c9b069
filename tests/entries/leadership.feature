Feature: Confirmation of a duty seat
  A holder acts only on a state that it knows to be current.

  Scenario: A paused process acts only after a fresh read of the log
    # Guards against a resumed process that grants before its ticker runs, or
    # on an answer of the log that was under way during the pause.
    Given a duty seat that became active
    When the process is paused for 5 s
    Then the duty seat is not confirmed, although its peers are heard
    When the answer of a read from before the pause arrives
    Then the duty seat is not confirmed, although its peers are heard
    When the log is read to its end
    Then the duty seat is confirmed

  Scenario: A peer with a higher offset does not confirm the seat
    # Guards against a holder that trusts a peer which folded a takeover.
    Given a duty seat that became active
    When the log was last read 2 s ago and a peer is ahead by a record
    Then the duty seat is not confirmed

  Scenario: A stopped process whose seat is taken over runs nothing twice
    # Guards against a resumed dispatcher that acts on its old seat. Uses real
    # processes; the checks count executions and don't measure time.
    Given a fleet of processes with 6 entry hosts
    When its dispatcher of zone a is stopped under load until it is replaced
    Then another host holds the duty seat of zone a
    And every request ran at most once and every outcome is true
