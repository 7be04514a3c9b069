Feature: Random faults against owners and workers
  Whatever faults coincide, no task runs twice and no accepted job is lost.

  Scenario: Random sequences of faults
    # Guards against errors that appear only when faults are combined.
    When 40 random sequences of up to 5 faults are injected
    Then no task ran twice and every accepted job was completed

  @known_red
  Scenario: A task loses three workers by chance within seconds
    # Guards against a sound job that is given up, as workers crashed under the
    # same task three times.
    When the random faults (6, 0.4) (10, 2.0) (6, 0.4) (9, 1.0) (6, 0.4) are injected 0.1 s after the start
    Then no task ran twice and every accepted job was completed

  Scenario Outline: The checks detect an implementation with an error
    # Guards against checks that can't fail.
    Given an implementation that <fault>
    When 40 random sequences of up to 5 faults are injected
    Then an invariant violation is found

    Examples:
      | fault                                     |
      | acknowledges ends before they are stored  |
      | starts tasks before all workers are known |
