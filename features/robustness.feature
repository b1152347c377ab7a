Feature: Odd inputs, lost answers and late messages affect no more than the one thing they concern

  Scenario: The holder of the promotion lease renews it while another host waits for it
    Given a host that waits for the promotion lease of another
    When the holder renews the lease before the wait ends
    Then the two hosts never hold the lease at the same time

  Scenario: A third host takes the promotion lease while another host waits for it
    Given a host that waits for the promotion lease of another
    When a third host takes the lease just before the wait ends
    Then no two hosts hold the lease at the same time, and no fencing token is used twice

  Scenario: An object is removed before a cache starts with a snapshot
    Then a cache that began with a snapshot at revision 9 sends a snapshot to one at revision 5
    And a removed object does not stay at a host that pulls from it

  Scenario: A cache keeps a bounded number of removals
    Then a cache that saw 3000 removals keeps at most 1000, and none reappears at a host that pulls

  Scenario: A transaction is rolled back while a statement of it runs
    Then the link of a transaction that is rolled back while busy is released

  Scenario Outline: A number that int() does not accept as it stands
    Then the text <text> is no number to targets, callers, operators and settings

    Examples:
      | text |
      | ²    |
      | ١    |
      | +1   |
      | 1_0  |
      | 99999999999999999999 |

  Scenario: A target refuses a session variable that was sent ahead of a statement
    Then the statement's outcome counts as unknown, and the link is closed

  Scenario: A statement has a character that the wire can't carry
    Then the statement is refused as not executed, and the target got nothing of it

  Scenario: The store fails when a completed failover is recorded
    Given a failover whose last write to the store fails
    When it runs
    Then the old primary is demoted and the replicas are resumed

  Scenario: A host was no coordinator while a group's primary was missing
    Then the time that the primary is missing counts from when the host became coordinator

  Scenario: A host that accepts no connection is called
    Then a call with a time-out of 0.2 s fails within 0.35 s

  Scenario: A handler raises an unexpected error
    Given two connected hosts
    When one calls a handler that raises
    Then the call fails at once, and other calls on the connection are answered

  Scenario: A message or a response is too large
    Given two connected hosts
    When a request and a response are larger than a frame may be
    Then both calls fail at once, and other calls on the connection are answered

  Scenario: A hello of an earlier process arrives late
    Given a host that knows a restarted host
    When a hello that the earlier process sent when it stopped arrives
    Then the restarted host stays known with its own process and state

  Scenario: A process counts as ended only once another one has answered on its host
    Given a host that knows a restarted host
    Then the earlier process has ended, also if its clock was ahead, and the one that answers has not
    And a process of a host that does not answer, or of an unknown host, has not

  Scenario: The store names this host with an earlier address
    Then a host keeps its own entry

  Scenario: Two processes start at the same reading of the clock
    Then processes that start at the same reading of the clock have different incarnations

  Scenario: A configuration has a route and a team that can't be decoded
    Then the other routes and teams of the configuration are in force

  Scenario: The platform answers a promotion order with an error of its own
    Then a promotion order that is answered with 500 or 502 counts as unanswered

  Scenario: A promotion order gets no answer in time
    Given a promotion API that reads an order and does not answer
    When a promotion is ordered
    Then the order counts as unanswered, and its connection is reset, so that it is not sent again

  Scenario: A process is frozen while it connects to the promotion API
    Given a promotion API that reads an order and does not answer
    When a promotion is ordered by a process that freezes for 16 s as it connects
    Then the order counts as unanswered, and nothing of it was sent

  Scenario: A process ends with a promotion order under way
    Given a promotion API that reads an order and does not answer
    When a process orders a promotion and is killed
    Then its connection is reset, so that the order is not sent again

  Scenario: A caller connects to a host that is stopping and stays silent
    Then a drain of at most 3 s ends within 1.5 s

  Scenario: A host that is leaving is suspected for a while
    Given a host that knows another one as leaving
    When it suspects the other host and then hears from it
    Then the other host is still known as leaving

  Scenario: An operator writes an object under another name than its own
    Then a team that calls itself b is not accepted under the name a

  Scenario: A write to the platform gets no response and is done later
    Given a platform that does a write later than its response is waited for
    When a daemon changes an object there
    Then the outcome is reported as unknown, and one that was never sent as not done

  Scenario: A write to the platform gets no response, and another one follows it
    Given a platform that does a write without a response, and then another one
    When a daemon changes an object there
    Then the outcome is reported as unknown, and one that was never sent as not done

  Scenario: A path names a transaction below statements
    Then a request to commit below /statements is for an unknown path, below /transactions it is not

  Scenario: A host answers with another request's response
    Given a host that answers calls with another request's response
    When a statement is sent to it
    Then no call gets a response, and no connection is used again

  Scenario: A host answers with what can't be decoded
    Given a host that answers calls with undecodable bodies and unknown kinds
    When calls of each kind are sent to it
    Then no call gets a response, and no connection is used again

  Scenario: A claim of a term gets no response, but the platform answers
    Given an election that may claim alone, whose claims get no response
    Then no term is claimed while the platform answers reads, and one is if it does not

  Scenario: The published primary is as new as the one that a host would publish
    Given an election whose primary another host has published
    When the host publishes the primary 5 times
    Then it reads the platform once

  Scenario: Many threads use one session
    Given a session that 40 threads use at once
    Then no request has more session tokens than a host accepts

  Scenario: A caller has no time left
    Given a session whose requests are recorded
    Then a request with a deadline of 0 s is sent with 1 ms, and one without with the session's own

  Scenario: An object's name has characters with a meaning in paths
    Given a platform that answers
    Then objects named "a b", "a?b", "a/b" and "ü%2F" are stored and found under their names

  Scenario: The platform rejects an object
    Given a platform that answers calls with 400, 413 and 429
    Then the first two are reported as rejected for good, the last as a platform that does not answer

  Scenario: A daemon stops serving others
    Given a host that answers calls with another request's response
    When it stops serving
    Then its server's thread ends within 1 s, with one error logged at most

  Scenario: A member is paused while statements of open transactions wait for its slots
    Given a member all of whose slots are in use, and for which statements wait
    When the member is paused
    Then the statement of an open transaction runs at once, and the other one waits

  Scenario: A write to the platform gets no response, and is done after a restore
    Given a platform that comes back from an older copy before it does a write without a response
    When a daemon changes an object there
    Then the outcome is reported as unknown, and one that was never sent as not done

  Scenario: A host ends and does not come back at its address
    Then the hosts that called it keep nothing of the connection
