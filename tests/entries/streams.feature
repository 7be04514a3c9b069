Feature: Streams between entry hosts
  A faulty peer leaks neither memory nor tasks.

  Scenario Outline: A faulty peer's stream is closed
    # Guards against a buffer or task that a faulty peer keeps forever.
    When a peer of a listening host <fault>
    Then the host has closed the stream and no task is left

    Examples:
      | fault                     |
      | never sends a hello          |
      | sends a frame of 100 MB   |
      | sends the host's own name  |
      | stops reading             |
      | stops sending              |

  Scenario: A host with an unexpected name is refused
    # Guards against messages that go to the wrong host.
    When a dialled peer sends another host name than expected
    Then the dialled peer is not connected

  Scenario: The older of two streams of a peer is closed
    # Guards against unused streams that stay open.
    When a peer opens a second stream
    Then only its second stream is open

  Scenario: A message above the frame limit leaves the stream open
    # Guards against a stream that is closed because of one message.
    When a message of 5 MB is sent to a peer, and then a small one
    Then the peer has received only the small one

  Scenario Outline: Requests that run hold all memory for requests
    # Guards against healthy hosts that are cut off from each other for as long
    # as requests run on one of them, or for good if the share of a small machine
    # is less than one frame: each frame was refused, which closes its stream.
    Given a listening host with <room> KB for requests, of which <held> are held
    When a peer sends heartbeats and a frame of <size> KB
    Then the stream of the peer has stayed open

    Examples:
      | room | held | size |
      | 64   | 64   | 1    |
      | 512  | 0    | 4000 |
