Feature: Status of the fleet
  The status shows only what the answering entry host knows.

  Scenario: A host that isn't dispatcher, with one silent dispatcher
    # Guards against free slots of a dead dispatcher, and against zeros for
    # values that the host can't know.
    When the status of a non-dispatcher host is built while zone b is silent
    Then zone b's slots don't count and its host is shown as not live
    And waiting, units and running are null

  Scenario: A dispatcher
    # Guards against a dispatcher that omits the values that only it knows.
    When the status of the dispatcher of zone a is built
    Then waiting, units and running are those of the dispatcher

  Scenario: Finished maintenance
    # Guards against a list that only grows.
    When the status is built with drains, moves and rollouts in every state
    Then only unfinished ones are listed

  Scenario: A host that has never read the log
    # Guards against an infinite age, which JSON can't represent.
    When the status of a host that never read the log is built
    Then its age is null in JSON
