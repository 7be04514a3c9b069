Feature: Publishing of operators' changes
  A change contains only the fields that differ; the fold decides its outcome.

  Scenario: Fields that aren't given keep their values
    # Guards against a command that resets the fields that aren't given.
    When an operator changes only the target time of a queue
    Then the queue keeps its other fields

  Scenario: A change with an unknown outcome is repeated with its id
    # Guards against a repeated change that takes effect twice or gets another
    # answer after another operator has changed the same subject.
    When a change ends as unknown, another follows, and the first is repeated
    Then the repeat reports the first offset and the second change stands

  Scenario: The start of a rollout is repeated with its id
    # Guards against an "already exists" error for a rollout that was created by
    # the first attempt.
    When a rollout is started twice with one id, then as a dry run
    Then all three answers equal the first

  Scenario: Concurrent changes of one subject
    # Guards against a change that overwrites another that its operator hasn't
    # seen.
    When two operators change one team from the same state
    Then one change is accepted and one is rejected as stale

  Scenario: A dry run
    # Guards against a dry run that changes the fleet or skips a check.
    When a valid and an invalid change are published as dry runs
    Then the dry runs report accepted and refused, and nothing is appended

  Scenario: A subject that must exist
    # Guards against a mistyped zone name that creates a new zone.
    When zone "aa" is taken out where only "a" and "b" are known
    Then the change is rejected with the hint "a" and nothing is appended

  Scenario: The log can't be read
    # Guards against "refused" for a repeated change whose first attempt may be
    # in force.
    When a change meets a log that can't be read, with and without an id
    Then the answer is unknown with the id and refused without it
