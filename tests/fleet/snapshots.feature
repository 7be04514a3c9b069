Feature: Snapshots of the configuration
  A new host needs one snapshot and the records after it.

  Scenario: Any state survives its encoding
    # Guards against a field that is lost or changed in a snapshot.
    When hypothesis encodes and decodes configurations
    Then each decoded configuration equals the encoded one

  Scenario Outline: A damaged snapshot is refused: <damage>
    # Guards against a host that starts from half a state, or that fails.
    When a snapshot is read that <damage>
    Then the snapshot is refused and names <named>

    Examples:
      | damage             | named                  |
      | is cut short       | cut short              |
      | is no snapshot     | malformed snapshot     |
      | has a newer format | allowed is 1           |

  Scenario Outline: When a snapshot is due
    # Guards against a snapshot after its records are gone, and against a storm.
    Then with offset <offset>, oldest <oldest>, snapshot <newest> of retention 100 the lowest holder appends: <lowest>, others: <others>

    Examples:
      | offset | oldest | newest | lowest | others |
      | 48     | 0      | -1     | no     | no     |
      | 49     | 0      | -1     | yes    | no     |
      | 74     | 0      | -1     | yes    | yes    |
      | 149    | 50     | 100    | no     | no     |
      | 150    | 51     | 100    | yes    | no     |
      | 175    | 76     | 100    | yes    | yes    |
      | 175    | 170    | 100    | yes    | yes    |
      | 175    | 175    | 175    | no     | no     |
      | 60     | 41     | 45     | yes    | yes    |

  Scenario: A log with little retention always holds a usable snapshot
    # Guards against a log from which no new host can start, and against hosts
    # that all append snapshots at once.
    When nine hosts write snapshots while records pass 8 times the retention
    Then a new reader could start at any time
    And at most 4 snapshots were appended for each retention
