Feature: Calls of a host to the owner of a partition
  An owner that can't answer is not called more than it can bear.

  Scenario: Jobs for an owner that answers nothing are refused at once
    # Guards against hosts that keep sending jobs to an owner without answers
    # and hold their callers until the time of each is used up.
    Given an owner that answers no call
    When a job is submitted
    And 20 jobs are submitted 1.5 s later
    Then at least 19 of the 20 jobs are refused as not-run within 0.1 s
    And the callers are told to return at different times
    And the owner had at most 2 calls in progress

  Scenario: An owner that answers again gets all jobs
    # Guards against jobs that are refused although their owner has recovered.
    Given an owner that answers no call for 2.5 s
    When a job is submitted
    And a status call is sent 3 s later
    And 20 jobs are submitted 0.2 s later
    Then all 20 jobs are accepted

  Scenario: Status and cancel calls outlast an owner's silence
    # Guards against status and cancel calls that fail while a single call tests
    # whether the owner answers again.
    Given an owner that answers no call for 2.5 s
    When a job is submitted
    And a job is submitted 1.9 s later
    And 20 status calls and a cancel call are sent 0.1 s later
    Then all status calls and the cancel call succeed
    And the owner had at most 3 calls in progress before it answered

  Scenario: The calls in progress to one owner are bounded
    # Guards against an owner that gets a whole burst from every host at once.
    Given an owner that takes 0.5 s for a call
    When 200 jobs are submitted
    Then 64 jobs are accepted and the others refused as not-run within 0.1 s
    And the owner had at most 64 calls in progress

  Scenario: A slow call among others that are answered
    # Guards against an owner that counts as silent because the store is slow to
    # confirm one job.
    Given an owner that answers all calls but the first
    When a job is submitted
    And a job is submitted 0.6 s later
    And 20 jobs are submitted 0.7 s later
    Then all 20 jobs are accepted

  Scenario: Attempts at a host that isn't the owner are spaced
    # Guards against hosts that call again without a growing delay.
    Given a host that answers each call as not-owner
    When a status call is sent
    Then the owner got at most 10 calls
