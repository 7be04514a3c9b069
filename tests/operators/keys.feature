Feature: Keys of operators' commands
  Only the hash of a key is published.

  Scenario: Invalid keys
    # Guards against keys that no caller can send, and against keys in error
    # messages.
    When an empty, a short, a long and a non-ASCII key are checked
    Then each is rejected without showing its text

  Scenario: Prefix of a hash
    # Guards against withdrawing the wrong key.
    When hashes are looked up by prefixes that match none, one and two keys
    Then only the prefix that matches one key gives a hash

  Scenario: A withdrawn key and another team's key
    # Guards against a leaked key that an old file puts in force again, and
    # against a key that moves to another team unnoticed.
    When a withdrawn key and another team's key are granted
    Then both grants are rejected and that of a new key is not
