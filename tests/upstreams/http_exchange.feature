Feature: One HTTP/1.1 exchange
  A response is valid only if it is complete and nothing follows it.

  Scenario Outline: A response that <what>
    # Guards against a connection that is never reused, one that is reused
    # although the server closes it, and a truncated response that is accepted.
    When a stream holds a response that <what>
    Then the exchange ends as "<ending>"

    Examples:
      | what                        | ending     |
      | is complete                 | kept       |
      | asks to close               | closed     |
      | is of HTTP/1.0              | closed     |
      | lacks its last byte         | incomplete |
      | is followed by another      | incomplete |
      | is followed by a stray byte | incomplete |
      | has no length               | incomplete |
      | is not HTTP                 | incomplete |
