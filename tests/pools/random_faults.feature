Feature: Random faults against owners and workers
  Whatever faults coincide, no task runs twice and no accepted job is lost.

  Scenario: Random sequences of faults
    # Guards against errors that appear only when faults are combined.
    When 40 random sequences of up to 5 faults are injected
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
