Feature: One HTTP/1.1 exchange
  A response counts only if it is whole and the only one.

  Scenario Outline: A response that <what>
    # Guards against a connection that is never kept, one that is kept against
    # the server's word, and a part of a response taken for a whole one.
    When a stream holds a response that <what>
    Then the exchange ends as "<ending>"

    Examples:
      | what                        | ending     |
      | is whole                    | kept       |
      | asks to close               | closed     |
      | is of HTTP/1.0              | closed     |
      | lacks its last byte         | incomplete |
      | is followed by another      | incomplete |
      | is followed by a stray byte | incomplete |
      | has no length               | incomplete |
      | is not HTTP                 | incomplete |
