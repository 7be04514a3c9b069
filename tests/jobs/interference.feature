Feature: Interference between tasks
  Best-effort tasks raise the tail latency of latency-sensitive tasks beside them
  by amounts that differ by image and change within seconds. Tails are relative
  to their target.

  Scenario Outline: The task that interferes is slowed, and not the others
    # Guards against harmless tasks that are slowed with those that interfere,
    # and against a tail over its target for longer than a reaction takes.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by <heavy>, light by 0.1 and none by 0
    When the services run for 20 s
    Then none runs at 90 percent or more everywhere
    And heavy runs at half of the pace of none or less
    And the tail is over its target for at most 2 s, and never after 5 s

    Examples:
      | heavy |
      | 0.5   |
      | 0.8   |

  Scenario: Effects change after a while
    # Guards against estimates that outlive the effects that they describe.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.8, light by 0.1 and none by 0
    When the services run for 10 s
    And heavy raises its tail by 0, light by 0.1 and none by 0.8 from now on
    And the services run for 20 s
    Then heavy runs faster than none
    And the tail is over its target for at most 3 s, and never after 20 s

  Scenario: An estimate is wrong
    # Guards against a tail that stays over its target beside a task that is held
    # to be harmless, where 4.5 s are too long.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0, light by 0 and none by 0
    When the services run for 20 s
    And heavy raises its tail by 0.9, light by 0.9 and none by 0.9 from now on
    And the services run for 20 s
    Then the tail is over its target for at most 4 s, and never after 25 s

  Scenario Outline: A harmless task goes on beyond the limit for one round only
    # Guards against a harmless task that is stopped with those that interfere,
    # and against a tail that stays over its target because an estimate is wrong.
    When a tail has been at 0.95 of its target for <seconds> s
    And a harmless task at 100 percent is beside an unknown one at <other> percent
    And the paces changed <changed> s ago
    Then the harmless task continues at <next> percent

    Examples:
      | seconds | other | changed | next |
      | 0       | 100   | 5       | 100  |
      | 0.1     | 0     | 0.1     | 100  |
      | 0       | 0     | 5       | 0    |
      | 1       | 0     | 1       | 0    |
      | 1       | 100   | 0.1     | 0    |

  Scenario: A slow worker isn't taken for an interfering neighbor
    # Guards against harmless tasks that are slowed everywhere for the tail on a
    # slow worker, where the levels of workers are compared.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.5, light by 0.1 and none by 0
    And worker i-0 of a service is 2.2 times slower
    When the services run for 20 s
    Then none is expected to raise the tail by at most a quarter of what heavy does
    And none runs at 90 percent or more on the other workers

  Scenario: A slow phase of a worker isn't taken for an interfering neighbor
    # Guards against harmless tasks that are slowed everywhere for a tail that
    # rose on one worker.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.5, light by 0.1 and none by 0
    When the services run for 10 s
    And worker i-0 of a service is 2.2 times slower
    And the services run for 10 s
    Then none is expected to raise the tail by at most a quarter of what heavy does
    And none runs at 90 percent or more on the other workers

  Scenario: Images that are always paced alike stay unknown
    # Guards against confidence in a wrong split of what two images do together.
    When 50 samples of two images change both paces alike
    Then neither of the images is known
    When 10 samples change the pace of one of them
    Then both images are known with errors below 0.05

  Scenario: One sample is far off
    # Guards against one sample that outweighs all others.
    When 10 samples of an image come in 10 s
    And one sample is 5 times the others
    Then its estimated effect is less than a third off

  Scenario: An effect ends
    # Guards against an estimate that follows a change only as its memory fades.
    When 10 samples of an image come in 10 s
    And 4 samples show no effect any more
    Then its estimated effect is a quarter of the effect or less

  Scenario: Old estimates lose their weight
    # Guards against decisions on effects that nobody has seen for long.
    When 10 samples of an image come in 10 s
    Then the effect of the image is known
    When 100 s pass without samples
    Then the effect of the image isn't known
    When 100 s pass without samples
    Then its estimated effect is nearer to the prior than to its samples

  Scenario: An image isn't seen for a day
    # Guards against a number that overflows as its weight fades, which ended the
    # owner of the partition 5.7 hours after the last sample.
    When 10 samples of an image come in 10 s
    And 86400 s pass without samples
    Then the effect of the image isn't known
    When 4 samples show no effect any more
    Then its estimated effect is a quarter of the effect or less

  Scenario: The number of images is bounded
    # Guards against memory that grows with the names that callers choose.
    When 100 images affect each of 100 others
    Then only the last 64 images are known in each role

  Scenario: Tasks that interfere are placed apart while there is room
    # Guards against a task beside one that it slows down, and against one that
    # waits although it has room there.
    Given 8 workers, of which 7 have a service, and images heavy and none
    And heavy raises its tail by 0.5, light by 0.1 and none by 0
    When the services run for 10 s
    Then a task of heavy is placed where no service runs
    And a task of none is placed where a service runs
    And a service prefers the worker with none to a fuller one with heavy
    When only workers with services have room
    Then a task of heavy is placed where a service runs

  Scenario: A worker stops answering
    # Guards against samples from a worker whose latency isn't known, and against
    # commands that it can't answer.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.5, light by 0.1 and none by 0
    When the services run for 5 s
    And worker i-0 goes silent with 9 times its tail latency
    And the services run for 10 s
    Then the paces on worker i-0 have not changed since
    When worker i-0 of a service answers again
    And the services run for 3 s
    Then none is still known
    And none is expected to raise the tail by at most a quarter of what heavy does

  Scenario: A new owner starts without estimates
    # Guards against an owner that relies on what it has not seen.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.8, light by 0.1 and none by 0
    When the services run for 10 s
    And another owner takes the services over
    Then no pair of images is known
    When the services run for 20 s
    Then none runs at 90 percent or more everywhere
    And the tail is over its target for at most 2 s, and never after 15 s

  Scenario: A change of pace is lost
    # Guards against a task that goes on at full pace because its owner believes
    # that it was slowed.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.8, light by 0.1 and none by 0
    When changes of pace are lost for 2 s
    And the services run for 10 s
    Then the tail is over its target for at most 4 s, and never after 5 s

  Scenario: What is learned is logged
    # Guards against a log that doesn't tell why a task is slowed, or that grows
    # with the number of pairs.
    Given 6 workers with a service and images heavy, light and none beside it
    And heavy raises its tail by 0.5, light by 0.1 and none by 0
    When the services run for 10 s
    Then heavy and none are logged as learned, with at most one line a second
    And paced tasks are counted

  Scenario: A best-effort task that can't work is moved
    # Guards against a task that stands still while another worker has room, and
    # against a service that is moved for it.
    Given 8 workers with services at 0.8 of their target on 4, and heavy beside them
    When the services run for 5 s
    Then no best-effort task has moved
    When the workers without services get room
    And the services run for 8 s
    Then every task of heavy runs at full pace where no service runs
    And the services are where they were
    And tasks have moved one at a time, at least 1 s apart

  Scenario Outline: A best-effort task stays where it is
    # Guards against moves that lose work, break a budget or gain nothing, and
    # against a second run of a task whose first one may go on.
    Given 8 workers with services at 0.8 of their target on 4, and heavy beside them
    And <reason>
    When the services run for 5 s
    And the workers without services get room
    And the services run for 8 s
    Then no best-effort task has moved

    Examples:
      | reason                                             |
      | the tasks of heavy have no checkpoints             |
      | no task of heavy may be made unavailable           |
      | the owner can't be sure of its ownership           |
      | the other workers run services at 0.8 of their target too |

  Scenario: The worker of a task to be moved goes silent
    # Guards against a second run of a task whose first one may go on.
    Given 8 workers with services at 0.8 of their target on 4, and heavy beside them
    When the services run for 5 s
    And the workers with services go silent as the others get room
    And the services run for 8 s
    Then each task of heavy has one run, where it was
