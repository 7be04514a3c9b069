Feature: Recovery of a zone's dispatch
  A new dispatcher knows what entry hosts hold and who waits.

  Scenario: A successor counts the grants and the waiting requests of its zone
    # Guards against slots that are granted twice after a takeover, and against
    # requests that wait at a dead dispatcher until their deadline.
    When the dispatcher of zone a is killed while all its slots are in use
    Then its successor counted each running request of the live hosts
    And no upstream ran more requests than it has slots
    And every request that waited through a live host was answered

  Scenario: Grants of a killed entry host are freed after lease and start-by
    # Guards against slots that are lost with an entry host, or freed too soon.
    When an entry host of zone a that holds grants is killed
    Then its grants were held for 3 s and then freed

  Scenario: Claims of a killed owner become lost, and those of a live one do not
    # Guards against a claim that is "running" for good after its owner died.
    When the owner of a running request is killed
    Then the claim is running for 3 s and then lost
