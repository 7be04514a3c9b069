Feature: Progress of a job in records of bounded size
  However many tasks, occurrences and attempts a job has, each record that its
  owner writes fits into the store, and an end writes a small one.

  Scenario Outline: The progress of <job> with checkpoints of <size> characters
    # Guards against a record that outgrows what the store accepts, which blocked
    # the records of its whole partition.
    Given an unstored job of <job>
    When all tasks have begun, failed 3 times and have checkpoints of <size> characters
    And each third task is done
    Then each of its records has at most 262144 bytes
    And a later owner restores the same progress but for <lost> checkpoints

    Examples:
      | job                                  | size   | lost |
      | 11000 tasks                          | 16     | no   |
      | 100000 tasks                         | 16     | no   |
      | 100000 occurrences of 1 tasks        | 16     | no   |
      | 1000 steps of 100 tasks              | 16     | no   |
      | 777 occurrences of 3 steps of 41 tasks | 16   | no   |
      | 300 tasks                            | 1500   | no   |
      | 300 tasks                            | 9000   | some |
      | 3 tasks                              | 300000 | some |

  Scenario Outline: One end in <job>
    # Guards against ends that each write the progress of all tasks again: 300 KB
    # over a link of 5 Mbit/s take half a second.
    Given an unstored job of <job>
    When all tasks have begun, failed 3 times and have checkpoints of 16 characters
    Then one end writes at most 9000 bytes

    Examples:
      | job                           |
      | 11000 tasks                   |
      | 100000 tasks                  |
      | 100000 occurrences of 1 tasks |
      | 1000 steps of 100 tasks       |

  Scenario Outline: A record of an earlier build of a job of <tasks> tasks
    # Guards against tasks that run again after an update, as the new build reads
    # or overwrites what the old one stored in one record.
    Given an unstored job of <tasks> tasks
    When all tasks have begun, failed 3 times and have checkpoints of 16 characters
    And <done> is done
    And an earlier build stores it as one record
    Then a later owner restores the same progress but for no checkpoints
    And it stores all <parts> parts before it replaces that record

    Examples:
      | tasks | done                        | parts |
      | 1000  | each third task             | 8     |
      | 1000  | each task but the first 100 | 8     |
      | 1001  | each task but the first 100 | 8     |
      | 1030  | each task but the first 100 | 9     |

  Scenario Outline: A gang of <tasks> tasks ends and its owner is killed between two records
    # Guards against a gang of which some members count as done: it would never be
    # complete again, and never start.
    Given an unstored gang of <tasks> tasks that has ended
    When only the first <stored> of its records are stored
    Then a later owner counts <done> of its tasks as done

    Examples:
      | tasks | stored | done |
      | 500   | 4      | 500  |
      | 500   | 1      | 500  |
      | 500   | 0      | 0    |

  Scenario Outline: The largest <kind> record
    # Guards against another kind of record that the store refuses.
    Then the largest <kind> record has at most 262144 bytes with its key

    Examples:
      | kind         |
      | spec         |
      | terms        |
      | progress     |
      | cancellation |
      | queue        |
      | quota-share  |
      | quota-grants |
      | run-time     |
