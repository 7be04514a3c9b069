Feature: Following a keyed topic
  A follower misses no change, and never reports a state as current that it
  hasn't read.

  Scenario: The history can't be read at first
    # Guards against a host that never learns of workers that were removed
    # shortly before it started: they may still run tasks, and a new owner that
    # doesn't know them starts those tasks a second time.
    Given a store whose reads of the history fail twice
    When a follower runs for 5 s
    Then the history was applied once, with the removed key

  Scenario: A page of changes ends before the partition does
    # Guards against a withdrawn key that works: the configuration must not
    # count as confirmed while later records of it are still unread.
    Given a store whose reads return 1 record of 3 that are waiting
    When a follower runs for 5 s
    Then the state is first reported as current after the last record

  Scenario: A record takes long to arrive
    # Guards against a host that refuses calls although it has just read the
    # newest configuration: it is confirmed only as of the start of that read.
    Given a store whose reads wait 1 s, and take 1.5 s for each record
    When a follower runs for 5 s
    Then the state was confirmed again within 0.1 s of the record
