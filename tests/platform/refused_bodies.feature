Feature: Submissions whose bodies are refused before they are decoded
  Callers take 429 and 503 as a promise that the job never runs.

  Scenario Outline: A body is refused with <refused> and the owner <answer>
    # Guards against a promise that a job never runs although an earlier
    # submission of it was accepted, and its response lost.
    Given the owner of the queue <answer>
    When the body of a submission is refused with <refused>
    Then the response has the status <status>

    Examples:
      | refused | answer               | status |
      | 503     | knows the job        | 200    |
      | 503     | doesn't know the job | 503    |
      | 503     | is storing the job   | 504    |
      | 503     | gives no answer      | 504    |
      | 408     | knows the job        | 408    |
      | 413     | doesn't know the job | 413    |
