Feature: Operations of an owner on its jobs
  A submission that was not stored is refused as not run only with proof.

  Scenario Outline: A submission whose append fails
    # Guards against callers who may not treat a job as not run although the
    # owner knows that it was not stored, and against a refusal as not run of a
    # job that may be stored.
    Given the store <behaviour>
    When a job is submitted with 1 s to wait
    Then the submission is refused as <verdict> with status <status>
    And the refusal came within <seconds> s

    Examples:
      | behaviour                                          | verdict      | status | seconds |
      | rejects appends as fenced                          | not-run      | 503    | 0.1     |
      | first gives no reply, then rejects them as fenced  | may-have-run | 502    | 0.5     |
      | first rejects the sequence, then the fenced append | not-run      | 503    | 0.1     |
      | rejects appends without naming a known reason      | may-have-run | 502    | 0.1     |
      | accepts nothing for now                            | not-run      | 503    | 1.01    |

  Scenario: The owner is replaced while records are on their way
    # Guards against callers who wait in vain for the reply to an append that
    # the replaced owner has abandoned.
    Given the store takes 5 s for an append
    When a job is submitted with 1 s to wait
    And another job is submitted 0.1 s later
    And the owner is replaced 0.2 s later
    Then the submission is refused as may-have-run with status 502
    And the other submission is refused as not-run with status 503
    And the refusal came within 0.4 s

  Scenario: Two calls submit one job that is not sent in time
    # Guards against a second caller who waits for a record that the first call
    # has removed from the queue.
    Given the store accepts nothing for now
    When a job is submitted with 1 s to wait
    And the same job is submitted 0.3 s later
    Then the submission is refused as not-run with status 503
    And the other submission is refused as not-run with status 503
    And the refusal came within 1.01 s

  Scenario Outline: The owner's event loop runs late
    # Guards against an owner that takes jobs which it can't attend to within
    # the time that their callers wait.
    Given an owner whose event loop runs <lag> s late
    When a job is submitted with 1 s to wait
    Then the submission is <outcome>

    Examples:
      | lag  | outcome              |
      | 0.2  | accepted             |
      | 0.31 | refused for overload |
      | 5    | refused for overload |

  Scenario: A late owner goes on serving the jobs that it has
    # Guards against an owner that, while it runs late, refuses to confirm or to
    # cancel jobs that it has accepted.
    Given an owner whose event loop begins to run late after 0.5 s
    When a job is submitted with 1 s to wait
    And the same job is submitted 0.6 s later
    And the job is cancelled 0.7 s after it was submitted
    Then both submissions and the cancellation succeed

  Scenario Outline: A job is cancelled while its submission is being stored
    # Guards against an owner that calls a job unknown which it is about to
    # accept, and runs it after its caller was told that it doesn't exist.
    Given the store takes <append> s for an append
    When a job is submitted with 1 s to wait
    And the job is cancelled <after> s after it was submitted
    Then the cancellation <outcome>
    And the job is known as cancelled

    Examples:
      | append | after | outcome               |
      | 0.1    | 0.0   | succeeds              |
      | 0.1    | 0.05  | succeeds              |
      | 0.3    | 0.2   | succeeds              |
      | 0.8    | 0.2   | may have been stored  |

  Scenario: A submission arrives after its cancelling was answered
    # Guards against a submission that was held up, and runs although its caller
    # was told that there is none.
    Given the store takes 0.1 s for an append
    When the job is cancelled first
    And a job is submitted with 1 s to wait 0.5 s later
    And another job is submitted 0.1 s later
    Then the cancellation is refused as unknown
    And the submission is refused as not-run with status 503
    And the other submission is accepted

  Scenario: A job is cancelled by another client account while it is being stored
    # Guards against a cancelling of unknown jobs that reaches others' jobs.
    Given the store takes 0.1 s for an append
    When a job is submitted with 1 s to wait
    And another client account cancels the job 0.05 s after it was submitted
    Then the cancellation is refused with status 403
    And the submission is accepted

  Scenario: An unknown job is cancelled by another client account
    # Guards against an account that keeps jobs of others from being accepted.
    Given the store takes 0.1 s for an append
    When another client account cancels the job
    And a job is submitted with 1 s to wait 0.5 s later
    Then the cancellation is refused as unknown
    And the submission is accepted

  Scenario: A job is looked for while its submission is being stored
    # Guards against an answer that a job is unknown which is accepted a moment
    # later; a host that moves a queue would accept it a second time.
    Given the store takes 0.8 s for an append
    When a job is submitted with 1 s to wait
    And the job is looked for 0.2 s after it was submitted
    Then it is refused as not-run with status 503 within 0.5 s

  Scenario: Jobs refused by a late owner return spread over time
    # Guards against callers that all return at one moment.
    Given an owner whose event loop runs 1 s late
    When 20 jobs are submitted to the owner at once
    Then their callers are told to return between 1 s and 3 s later
