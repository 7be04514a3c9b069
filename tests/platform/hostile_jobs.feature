Feature: Whole bodies of legal size that cost a host dearly
  Real processes on machines with lowered limits. A host stays within the memory
  of its machine and answers an ordinary caller whatever clients send. Neither
  times nor the share of requests that are served are checked.

  Scenario Outline: Many clients send <pattern>
    # Guards against bodies that are built whole before they are checked: each
    # takes memory and the event loop for far longer than a job that is valid.
    Given an entry host on a machine of 96 MB and 400 descriptors
    When 40 clients send <pattern> until an ordinary caller is answered
    Then the host is alive and has used at most 96 MB and 300 descriptors
    And the ordinary caller was answered while those clients came back

    Examples:
      | pattern                                         |
      | bodies of empty steps                           |
      | bodies of small steps                           |
      | bodies of real steps                            |
      | several bodies of empty steps on one connection |
      | bodies of empty steps in chunks of one byte     |

  Scenario Outline: Many clients submit <pattern>
    # Guards against accepted jobs that hold far more memory than their bodies,
    # without a limit on all of them.
    Given an entry host on a machine of 96 MB and 400 descriptors
    When 40 clients submit 5 <pattern> each
    Then the host is alive and has used at most 96 MB and 300 descriptors
    And an ordinary caller of another account is answered afterwards

    Examples:
      | pattern                     |
      | jobs of 100,000 tasks       |
      | jobs of 100,000 occurrences |
      | jobs of 1,000 steps         |
      | jobs of many dependencies   |

  Scenario Outline: The smallest host takes over a pool full of <pattern>
    # Guards against accepted jobs that end each owner after the first: a limit
    # that only the first owner keeps, or one that is taken of its own memory.
    Given a host with 192 MB, and one with 96 MB
    When 40 clients submit 5 <pattern> each
    And the host that accepted them is killed
    Then the other host is alive and has used at most 96 MB and 300 descriptors
    And an ordinary caller of another account is answered afterwards

    Examples:
      | pattern               |
      | jobs of 100,000 tasks |
      | jobs of 1,000 steps   |
