Feature: Limits on the memory of accepted jobs
  A job is accepted while its account, its pool and the owner hold less than
  their limits. Each limit here is reached by a single job.

  Scenario Outline: The memory of <holder> is used up
    # Guards against accepted jobs without a limit on what they hold, a refusal
    # that isn't true, and one that keeps other callers out.
    Given a fleet in which one job uses up the memory of <holder>
    When account 1 submits job 1 to pool 1
    And account <account> submits job 2 to pool <pool>
    Then job 1 is accepted
    And job 2 is refused with 429 as not run, with a time to return

    Examples:
      | holder     | account | pool |
      | an account | 1       | 1    |
      | a pool     | 2       | 1    |
      | an owner   | 2       | 2    |

  Scenario Outline: Others than <holder> whose memory is used up
    # Guards against a limit of one account or pool that keeps others out.
    Given a fleet in which one job uses up the memory of <holder>
    When account 1 submits job 1 to pool 1
    And account <account> submits job 2 to pool <pool>
    Then job 2 is accepted

    Examples:
      | holder     | account | pool |
      | an account | 2       | 1    |
      | an account | 1       | 2    |
      | a pool     | 1       | 2    |

  Scenario: A submission is repeated while the memory is used up
    # Guards against refusing a job as not run that has run.
    Given a fleet in which one job uses up the memory of an account
    When account 1 submits job 1 to pool 1
    And account 1 submits job 1 to pool 1
    Then job 1 is accepted
    And job 1 ran once

  Scenario: A refused job comes again once there is room
    # Guards against refused jobs that were stored, which would run twice.
    Given a fleet in which one job uses up the memory of an account
    When account 1 submits job 1 to pool 1
    And account 1 submits job 2 to pool 1
    And the time passes for which ended jobs are shown
    Then job 2 has not run
    When account 1 submits job 2 to pool 1
    Then job 2 is accepted
    And job 2 ran once

  Scenario: Another owner takes over
    # Guards against a limit that holds only for the jobs that an owner accepted
    # itself.
    Given a fleet in which one job uses up the memory of an account
    When account 1 submits job 1 to pool 1
    And the owner of pool 1 is killed
    And account 1 submits job 2 to pool 1
    Then job 2 is refused with 429 as not run, with a time to return

  Scenario: A submission that the store doesn't take
    # Guards against memory that stays counted for jobs that were never stored.
    Given a fleet in which one job uses up the memory of an account
    When the store goes down for 5 s and account 1 submits job 1 to pool 1
    And account 1 submits job 2 to pool 1
    Then job 2 is accepted
