Feature: Stored outcomes of claimed requests

  Scenario: Stored answers stay within their bound
    # Guards against memory that grows with the answers nobody fetches.
    Given an answer store with room for 10 answers
    When 100 answers are stored
    Then only the newest 10 can be fetched
