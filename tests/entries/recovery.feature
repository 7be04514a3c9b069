Feature: Recovery of a zone's dispatch
  A new leader restores the grants and waiting requests of the entry hosts.

  Scenario: A successor restores the grants and waiting requests of its zone
    # Guards against slots that are granted twice after a takeover, and against
    # requests that wait at a dead leader until their deadline.
    When the leader of zone a is killed while all its slots are in use
    Then its successor restored the grant of each running request of live hosts
    And no upstream ran more requests than it has slots
    And every waiting request of a live host was answered

  Scenario: Grants of a killed entry host are freed after lease and start-by
    # Guards against slots that leak with an entry host, or are freed too soon.
    When an entry host of zone a that holds grants is killed
    Then its grants were held for 3 s and then freed

  Scenario: Claims of a killed owner become lost, and those of a live one do not
    # Guards against a claim that stays running forever after its owner died.
    When the owner of a running request is killed
    Then the claim is running for 3 s and then lost
