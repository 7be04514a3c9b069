Feature: Cached outcomes of claimed requests

  Scenario: The size of cached answers is bounded
    # Guards against memory that grows with answers that are never fetched.
    Given an answer cache with room for 10 answers
    When 100 answers are cached
    Then only the newest 10 can be fetched
