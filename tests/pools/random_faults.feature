Feature: Random faults against owners and workers
  Whatever fails together, no task runs twice and no accepted job is lost.

  Scenario: Lists of faults that a property test draws
    # Guards against faults that only show in combination.
    When 40 lists of up to 5 faults are drawn and played
    Then no task ran twice and every accepted job was completed

  Scenario Outline: The checks find a planted fault
    # Guards against checks that can't fail.
    Given a product that <fault>
    When 40 lists of up to 5 faults are drawn and played
    Then an invariant violation is found

    Examples:
      | fault                                      |
      | acknowledges ends before they are recorded |
      | starts tasks without waiting for workers   |
