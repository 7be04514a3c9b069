Feature: Errors that name what was received
  Errors go into responses and log lines, so they name a refused value in short.

  Scenario Outline: <source> sends a value of 100,000 characters
    # Guards against a sender that fills logs and responses by what it sends.
    When <source> sends long values where others are expected
    Then each error is a text of at most 500 characters

    Examples:
      | source                             |
      | a caller with a job                |
      | a worker with its status           |
      | a worker with its reply            |
      | a worker with its registration     |
      | an operator with a configuration   |
      | an operator with a wave            |
      | an operator with a record          |
      | an operator with a burn record     |
      | the advisory service               |
      | the hosts service                  |
      | the store with a page of records   |
      | the store with a membership        |
      | the store with a failure           |
      | the store with a job's spec        |
      | the store with a job's progress    |
      | the store with a job's terms       |
      | the store with a partition record  |
      | another host with a frame          |
      | another host with a refusal        |
      | an entry host with a problem       |
      | the log service with its replies   |

  Scenario: A call whose path is long
    # Guards against paths of 30 KB in responses and in log lines.
    When a caller sends a path of 30000 characters
    Then the response and each log line have at most 2000 characters

  Scenario: A log line with a long field
    # Guards against fields that no decoder has shortened.
    When a line with a field of 100000 characters is logged
    Then the line has at most 5000 characters

  Scenario: Shortening takes as long for a long list as for a short one
    # Guards against errors that build the text of all that was sent first.
    When the error text of a list of 1000000 numbers is made
    Then less than 100000 bytes were built
