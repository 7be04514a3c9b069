Feature: Keys in the hands of operators
  Only a key's hash is published.

  Scenario: Texts that can't be keys
    # Guards against a key that no caller can send, and one in an error message.
    When an empty, a short, a long and a non-ASCII key are checked
    Then each is refused without its text

  Scenario: The beginning of a hash
    # Guards against withdrawing the wrong key.
    When hashes are looked up by beginnings that fit none, one and two keys
    Then only the one that fits one key is found

  Scenario: A key comes back
    # Guards against a leaked key that an old file puts in force again, and a
    # key that changes teams unnoticed.
    When a withdrawn key and another team's key are granted
    Then both grants are refused and a new key's isn't
