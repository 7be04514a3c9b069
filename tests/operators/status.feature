Feature: Status of the fleet
  The fleet as one entry host sees it, with nothing made up.

  Scenario: A host that is no dispatcher, with one dispatcher silent
    # Guards against free slots of a dead dispatcher, and zeros for what this
    # host can't know.
    When the status of a host without duty is built while zone b is silent
    Then zone b's slots don't count and its host is shown as not live
    And waiting, units and running are unknown

  Scenario: A dispatcher
    # Guards against a dispatcher that hides what only it knows.
    When the status of the dispatcher of zone a is built
    Then waiting, units and running are its own

  Scenario: Maintenance that is over
    # Guards against a list that only ever grows.
    When the status is built with drains, moves and roll-outs of every state
    Then only what isn't over is listed

  Scenario: A host that has never read the log
    # Guards against an infinite age, which isn't JSON.
    When the status of a host that never read the log is built
    Then its age is null in JSON
