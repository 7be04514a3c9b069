Feature: Streams between entry hosts
  A faulty peer costs neither memory nor tasks.

  Scenario Outline: A faulty peer's stream is closed
    # Guards against a buffer or task that a faulty peer keeps for good.
    When a peer of a listening host <fault>
    Then the host has closed the stream and no task is left

    Examples:
      | fault                     |
      | never says hello          |
      | sends a frame of 100 MB   |
      | says the host's own name  |
      | stops reading             |
      | falls silent              |

  Scenario: A host that answers under another name is refused
    # Guards against messages that go to the wrong host.
    When a dialled peer says another name than the expected one
    Then the dialled peer is not connected

  Scenario: The older of two streams of a peer is closed
    # Guards against streams that are kept although nothing uses them.
    When a peer opens a second stream
    Then only its second stream is open

  Scenario: A message above the frame limit leaves the stream open
    # Guards against a stream that breaks because of one message.
    When a message of 5 MB is posted to a peer, and then a small one
    Then the peer has received the small one only
