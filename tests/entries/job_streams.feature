Feature: Streams that carry calls about jobs
  One slow reply affects neither the other calls nor the stream.

  Scenario: A call that times out leaves the other calls on the stream alone
    # Guards against one slow reply that fails all calls in progress to a peer
    # and makes every host dial it again.
    Given a peer that leaves submissions unanswered
    When a submission is sent
    And a status call that takes 0 s is sent 0.5 s later
    And a status call that takes 0.4 s is sent 0.5 s later
    And a status call that takes 0 s is sent 1 s later
    Then the submission fails as peer-silent
    And all status calls succeed
    And the peer was dialled 1 time

  Scenario: A connection that has gone silent is replaced
    # Guards against calls that all time out on a connection that no longer
    # delivers anything, without an error.
    Given a peer that answers status calls
    When a status call that takes 0 s is sent
    And the connection goes silent
    And a status call that takes 0 s is sent 1 s later
    And a status call that takes 0 s is sent 2 s later
    Then only the first and the last status call succeed
    And the peer was dialled 2 times
    And one stream is open

  Scenario: A call in progress on a replaced stream gets its late reply
    # Guards against calls that may have run because of an earlier call to a
    # peer that was too slow.
    Given a peer that answers everything 1.5 s after the first call
    When a submission is sent
    And a status call that takes 0 s is sent 1 s later
    Then the submission fails as peer-silent
    And the status call succeeds
    And the replaced stream is closed

  Scenario: Calls to an unreachable peer share one dial
    # Guards against calls that wait, beyond their own time, for the dials of
    # the calls before them.
    Given a peer that answers status calls
    When the peer becomes unreachable
    And 10 status calls are sent at once
    Then all status calls are refused as not-run within 0.5 s

  Scenario: A caller that leaves during the dial
    # Guards against a cancelled caller that ends the dial for the others.
    Given a peer that answers status calls
    When a status call is sent and cancelled during the dial
    And a status call that takes 0 s is sent
    Then the status call succeeds
    And the peer was dialled 1 time
