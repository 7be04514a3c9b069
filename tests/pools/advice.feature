Feature: Queues whose advisory service restricts placement
  Each worker of a pool is asked about once for a step, as far as it needs them.

  Scenario Outline: Few of many workers may run a step
    # Guards against a step that never starts, as the same workers are asked about
    # each time and the policy allows others.
    Given a pool of <workers> workers of which the policy allows the last <allowed>
    When <jobs> jobs of <step> wait
    Then all of them start within <seconds> s, on allowed workers with their tickets
    And no worker was asked about twice for a step within the life of a ticket

    Examples:
      | workers | allowed | jobs | step             | seconds |
      | 40      | 8       | 1    | 1 task           | 0.5     |
      | 40      | 40      | 1    | 1 task           | 0.25    |
      | 200     | 3       | 1    | 1 task           | 1.5     |
      | 200     | 20      | 1    | a gang of 60     | 1.7     |
      | 200     | 10      | 50   | 1 task           | 62      |
      | 200     | 200     | 50   | 1 task           | 9       |

  Scenario: A step needs few of the workers that may run it
    # Guards against calls that take time from other steps for nothing.
    Given a pool of 200 workers of which the policy allows the last 200
    When 1 jobs of 1 task wait
    Then all of them start within 0.25 s, on allowed workers with their tickets
    And the service was asked about at most 30 workers

  Scenario: Calls about one step fail
    # Guards against steps that wait for another one's calls.
    Given a pool of 40 workers of which the policy allows the last 8
    When calls about another job fail
    And 5 jobs of 1 task wait
    Then all of them start within 3 s, on allowed workers with their tickets

  Scenario: The only allowed worker joins later
    # Guards against a worker that is never asked about, as it wasn't there.
    Given a pool of 40 workers of which the policy allows the last 0
    When 1 jobs of 1 task wait
    And nothing starts within 5 s
    And a worker joins that the policy allows
    Then all of them start within 0.5 s, on allowed workers with their tickets

  Scenario: Allowed workers are busy for longer than their tickets last
    # Guards against tickets that are renewed all the time while nothing can start,
    # and against those that aren't once there is room.
    Given a pool of 4 workers of which the policy allows the last 2
    And runs take 8 s
    When 3 jobs of 8 tasks wait
    Then all of them start within 18 s, on allowed workers with their tickets
    And the service got at most 24 calls
