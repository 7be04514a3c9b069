Feature: Snapshots of the configuration
  A new host starts from one snapshot and the records after it.

  Scenario: Encoding and decoding preserve any state
    # Guards against a field that is lost or changed in a snapshot.
    When hypothesis encodes and decodes configurations
    Then each decoded configuration equals the encoded one

  Scenario Outline: A snapshot that <damage> is rejected
    # Guards against a host that starts from a partial state, or that crashes.
    When a snapshot is read that <damage>
    Then the snapshot is rejected with an error that contains <named>

    Examples:
      | damage             | named                  |
      | is truncated       | truncated              |
      | is not a snapshot  | malformed snapshot     |
      | has a newer format | allowed is 1           |

  Scenario Outline: When a snapshot is due
    # Guards against a snapshot that comes after records have expired, and
    # against many hosts that append snapshots at once.
    Then with offset <offset>, oldest <oldest>, snapshot <newest> of retention 100 the host with the lowest seat appends: <lowest>, others: <others>

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

  Scenario: A log with short retention always has a usable snapshot
    # Guards against a log from which no new host can start, and against hosts
    # that all append snapshots at once.
    When nine hosts write snapshots while 8 times the retention is appended
    Then a new reader could start at any time
    And at most 4 snapshots were appended per retention
