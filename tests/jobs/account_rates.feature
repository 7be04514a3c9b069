Feature: Agreed rates of client accounts
  Submissions beyond an account's rate are served after all those within theirs.

  Scenario Outline: An account submits at a steady rate for 20 s
    # Guards against accounts that are held to less than they agreed on, and
    # against accounts that get more by submitting faster.
    Given an account with an agreed rate of <rate> submissions per second
    When it submits <sent> jobs per second for 20 s
    Then <least> to <most> of them are within its rate

    Examples:
      | rate | sent | least | most |
      | 5    | 5    | 100   | 100  |
      | 5    | 30   | 108   | 111  |
      | 0.5  | 3    | 10    | 12   |
      | 0    | 30   | 600   | 600  |

  Scenario: An account submits 2 s of its rate at once after a pause
    # Guards against bursts within the agreed rate that count as beyond it.
    Given an account with an agreed rate of 4 submissions per second
    When it submits 12 jobs at once
    Then 8 to 8 of them are within its rate
    When it submits 12 jobs at once 1 s later
    Then 4 to 4 of them are within its rate

  Scenario: A new owner takes over
    # Guards against jobs that a change of owner puts behind those of others.
    Given an account with an agreed rate of 4 submissions per second
    When it submits 12 jobs at once
    And a new owner takes over
    And it submits 12 jobs at once
    Then 8 to 8 of them are within its rate

  Scenario: Jobs beyond the rate wait for those within the rate
    # Guards against an account that takes room from others by submitting more,
    # also when the others are late.
    Given jobs of one priority that are within the rate or beyond it, late or not
    When they are put into the index of waiting jobs
    Then all within the rate come before all beyond it
    And within each of the two, jobs that aren't late come first
