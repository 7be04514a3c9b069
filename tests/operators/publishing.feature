Feature: Changes that operators publish
  A change names what differs and is reported as what the log made of it.

  Scenario: What isn't given stays as it is
    # Guards against a command that resets the fields that it doesn't name.
    When an operator changes only the target time of a queue
    Then the queue keeps its other fields

  Scenario: A change whose answer was unknown is repeated with its id
    # Guards against a second effect, and a second answer, after another
    # operator has changed the same subject meanwhile.
    When a change is answered unknown, another follows, and the first is repeated
    Then the repeat reports the first offset and the second change stands

  Scenario: The start of a roll-out is repeated with its id
    # Guards against "exists already" for what the first attempt has made.
    When a roll-out is started twice with one id, the second time as a dry run too
    Then all three answers are the first one's

  Scenario: Operators race for one subject
    # Guards against a change that overwrites one its operator hasn't seen.
    When two operators change one team from the same state
    Then one change is accepted and one is refused as stale

  Scenario: A dry run
    # Guards against a dry run that changes the fleet or forgets a rule.
    When a good and a bad change are published as dry runs
    Then the dry runs say accepted and refused, and the log is as before

  Scenario: A subject that must exist
    # Guards against a mistyped zone that is published as a new one.
    When zone "aa" is taken out where only "a" and "b" are known
    Then the change is refused with the hint "a" and nothing is appended

  Scenario: The log can't be read
    # Guards against "refused" for a repeat whose first attempt may be in force.
    When a change meets a log that can't be read, with and without an id
    Then the answer is unknown with the id and refused without it
