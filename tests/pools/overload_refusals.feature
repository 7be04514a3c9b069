Feature: Refusals of submissions by an overloaded pool
  Only what can't be served usefully is refused, before anything is stored.

  Scenario: A submission beyond the rate of its account
    # Guards against jobs that are accepted and never served, and against a wrong
    # verdict on them.
    Given an owner whose pool has 40 s of work within the rate of its account
    When a new job is submitted beyond the rate
    Then it is refused as not run with status 429, and nothing is stored
    And its caller returns after 1 s to 10 s

  Scenario: A repeated submission of an accepted job
    # Guards against a caller that is told "not run" of a job that runs, since the
    # answer to its first submission was lost.
    Given an owner whose pool has 40 s of work within the rate of its account
    When an accepted job is submitted again
    Then it is accepted

  Scenario: Callers that are refused one after the other
    # Guards against callers that return all at once, or in another order.
    Given an owner whose pool has 40 s of work within the rate of its account
    When 30 new jobs are submitted beyond the rate
    Then their callers return in the order in which they were refused
    And one line is logged for them, and each counts

  Scenario Outline: Jobs that aren't refused for load
    # Guards against refusals at the begin of each burst, while hosts arrive, and
    # of jobs for which a delay doesn't matter.
    Given an owner whose pool has 40 s of work within the rate of its account
    And <exception>
    When a new job is submitted beyond the rate
    Then it is accepted

    Examples:
      | exception                           |
      | the job is long-running             |
      | the job has a schedule              |
      | overload has begun 3 s ago in a fleet with spare hosts |

  Scenario: A new owner
    # Guards against a new owner that refuses jobs by what it doesn't know yet.
    Given an owner whose pool has 40 s of work within the rate of its account
    When another host becomes the owner
    And a new job is submitted beyond the rate
    Then it is accepted
    And it counts as within the rate

  Scenario: A caller whose estimate is a tenth of the run time
    # Guards against refusals by the target that follows from the estimate: such
    # a job is worth something for ten times as long.
    Given an owner whose pool has 40 s of work within the rate of its account
    And the tasks of its queue take 30 s, and are estimated at 1 s
    When a new job is submitted beyond the rate
    Then it is accepted

  Scenario: A pool without hosts
    # Guards against refusals by a capacity that isn't known: the hosts may be
    # out of contact for a moment.
    Given an owner whose pool has 40 s of work within the rate of its account
    And none of the hosts of the pool can take tasks
    When a new job is submitted beyond the rate
    Then it is accepted

  Scenario: Refusals while the owner's clock shows any time
    # Guards against a Retry-After of 11 s, to which a delay of 10 s and a
    # rounding error is rounded up.
    When callers are refused at 1000 times behind a backlog of 60 s
    Then all of them return after 1 s to 10 s

  Scenario: Jobs that wait for their schedule
    # Guards against refusals for a number of waiting jobs of which none waits
    # for room.
    Given an owner with 2600 scheduled jobs whose next time is far away
    When a new job is submitted beyond the rate
    Then it is accepted

  Scenario: Hosts that still arrive
    # Guards against jobs that are moved out at the start of each burst by the
    # capacity of hosts that the pool has before the ones it asked for arrive.
    Given an owner whose pool has 40 s of work within the rate of its account
    And overload has begun 3 s ago in a fleet with spare hosts
    When a new job is submitted beyond the rate
    Then jobs that can be on time are placed by their latest start

  Scenario: No hosts arrive
    # Guards against overload that never changes the order.
    Given an owner whose pool has 40 s of work within the rate of its account
    When a new job is submitted beyond the rate
    Then jobs that can be on time are not placed by their latest start
