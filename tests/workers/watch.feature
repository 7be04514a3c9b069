Feature: Commands to one worker
  A watch polls a worker and sends the commands that its owner has queued.

  Scenario: Commands are sent while the ownership is confirmed
    # Guards against a check that holds back every command.
    Given a watched worker with a run
    When a stop and a change of pace are queued
    Then the worker gets a stop and a pace
    And the polls extend its lease

  Scenario: The ownership runs out before queued commands are sent
    # Guards against a process that was suspended for seconds and, as it wakes,
    # sends the stops that were queued before, although another owner counts on
    # the runs or has stopped others of the same availability budget.
    Given a watched worker with a run
    When the ownership runs out
    And a stop and a change of pace are queued
    Then the worker gets no command
    And no poll extends its lease

  Scenario: The ownership is confirmed again
    # Guards against a stop that is lost with the first attempt to send it.
    Given a watched worker with a run
    When the ownership runs out
    And a stop and a change of pace are queued
    And the ownership is confirmed again
    Then the worker gets a stop

  Scenario: The availability budget is used up before a queued stop is sent
    # Guards against a stop that is sent, or repeated, by what was known when it
    # was queued: other tasks of the step have become unavailable since.
    Given a watched worker with a run
    When the availability budget is used up
    And a stop and a change of pace are queued
    Then the worker gets a pace

  Scenario: A change of pace fails
    # Guards against a best-effort task that goes on at full pace because its
    # owner believes that it was slowed.
    Given a watched worker with a run
    When a change of pace is rejected
    Then its pace is uncertain

  Scenario: A change of pace succeeds after one that failed
    # Guards against a pace that is sent again with each status.
    Given a watched worker with a run
    When a change of pace is rejected
    And a change of pace is accepted
    Then its pace is certain

  Scenario Outline: Changes of pace overtake each other
    # Guards against a best-effort task that goes on at full pace for good: two
    # senders use connections of their own, and the owner held the pace that was
    # set last for the one that its worker applied last.
    Given a watched worker with a run
    When changes of pace to <first> and then to 0 are answered after <s> s
    And no other command follows for a second
    Then the worker applies a pace of 0 last, or its pace is uncertain

    Examples:
      | first | s           |
      | 100   | 0.3 and 0.1 |
      | 100   | 0.1 and 0.3 |

  Scenario: The record of an ended run is refused
    # Guards against an end that is acknowledged although it isn't stored, and
    # against polls one after the other for as long as it can't be.
    Given a watched worker with a run
    When the run ends and its record is refused
    And no other command follows for a second
    Then the end isn't acknowledged
    And the worker is polled at most 8 times
