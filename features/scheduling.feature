Feature: The statements for one target get their turns in order

  # Guards against queues at the target, where nobody orders them and the last ones are shed.
  Scenario: No more statements are in progress than the target can run
    Given a target with 3 slots whose statements take 20 ms
    When 60 statements of priority 1 come at once, each with 2 s left
    Then at most 4 were in progress at once
    And all 60 were run

  # Guards against a priority that is read and used nowhere.
  Scenario: Statements of a higher priority overtake those that wait
    Given a target with 3 slots whose statements take 20 ms
    When 60 statements of priority 2 come at once, each with 4 s left
    And 20 ms later 9 statements of priority 0 come, each with 1 s left
    Then each statement of priority 0 was run within 0.15 s
    And all 69 were run

  # Guards against starvation: the highest priority alone is more than the target can run.
  Scenario: The lowest priority keeps a share of the turns
    Given a target with 3 slots whose statements take 20 ms
    When 200 statements a second of priority 0 come for 2 s, each with 1 s left
    And 10 statements a second of priority 2 come for 2 s, each with 1 s left
    Then 15 or more statements of priority 2 were run

  # Guards against starvation by admission: a queue of higher priorities, longer than the deadline,
  # must not refuse what the share of the lowest priority serves in time.
  Scenario: The lowest priority keeps its share when its deadline is shorter than the queue
    Given a target with 3 slots whose statements take 20 ms
    When 200 statements a second of priority 0 come for 6 s, each with 1 s left
    And 10 statements a second of priority 2 come for 6 s, each with 0.4 s left
    Then 50 or more statements of priority 2 were run

  # Guards against priority inversion: an open transaction of a low priority keeps its link and
  # the rows that it has locked while new work of a high priority is run.
  Scenario: Open transactions go on before new work begins
    Given a target with 3 slots whose statements take 20 ms
    When 100 statements of priority 0 come at once, each with 2 s left
    And 20 ms later a transaction of priority 2 runs its statement
    Then that statement was run within 0.1 s

  # Guards against callers who wait until their deadline for what can be known at once.
  Scenario: What can't be run in time is refused before it waits
    Given a target with 3 slots whose statements take 20 ms
    And the target has run 50 statements
    When 200 statements of priority 1 come at once, each with 0.3 s left
    Then the refused ones learned it within 0.001 s
    And at least 40 were run

  # Guards against waits that are expected too short since later arrivals rank before: callers wait
  # until their deadline and are refused then.
  Scenario: In a lasting overload of many teams few statements wait in vain
    Given a target with 5 slots whose statements take 20 ms, and 72 links
    When statements of 75 teams, a few of them large, come at twice what it can run for 8 s
    Then less than a tenth of the statements waited until their deadline in vain

  # Guards against a large team on many hosts that crowds out a small one on one host. The owner of
  # the links sees the statements of all hosts.
  Scenario: Teams share the turns, whichever hosts their statements come from
    Given a target with 3 slots whose statements take 20 ms
    When a team with 500 statements a second competes with one of 40 a second for 2 s
    Then the small team had at least 76 statements run

  # Guards against links that are closed and opened for every statement: each takes 12 ms of a slot.
  Scenario: An overload opens few links
    Given a target with 5 slots whose statements take 20 ms, and 72 links
    When statements of 75 teams, a few of them large, come at twice what it can run for 3 s
    Then links were opened for less than a fifth of the statements that were run

  # Guards against a turn or a reserved link that is lost when a caller leaves.
  Scenario: Waiting statements that are cancelled give back what they had
    Given a target with 2 slots whose statements take 20 ms
    When 50 statements come at once and their callers leave at random times
    Then no turn is in progress and every link is idle

  # Guards against an unbounded queue: statements may carry texts and variables of megabytes.
  Scenario: The texts that wait are bounded
    Given a target with 2 slots whose statements take 20 ms
    When 100 statements with a text of 1 MiB come at once
    Then at most 8 MiB of texts waited at once

  # Guards against a cold member that is taken for slow, and its pace for the member's own refusals:
  # its limit would fall and its reported time of a statement rise, though it answers at once.
  Scenario: The pace of a cold member is not its answer time
    Then what waits for the pace of a cold member counts neither as slow nor as shed

  # Guards against statements that open links to a lost primary, one after the other in their turns,
  # only to be refused then.
  Scenario: The primary is fenced while statements wait for it
    Then statements that wait for a fenced primary are refused at once, and no link is opened

  # Guards against a lost transaction that is answered as a member that can't be reached.
  Scenario: A transaction is rolled back while its statement waits
    Then a statement whose transaction is rolled back while it waits learns that it is lost

  # Guards against links that stay open at a member, as the pool that counts them was dropped while
  # the first of them was opened.
  Scenario: A member restarts while the first link to it is opened
    Then the pool of a restarted member is kept until its last link is closed

  # Guards against statements that wait until their deadline for a link that may be opened.
  Scenario: A member has refused a link, and the others are held by transactions
    Then what waits for a link gets one when the pool's cap ends, though no link is released

  # Guards against commits of unknown outcome: one that is sent with a millisecond left times out.
  Scenario: The turn of a commit comes just before its deadline
    Then the commit is refused as lost and not sent, and its transaction is rolled back

  # Guards against a queue that is not bounded in bytes: the text of a prepared statement goes along
  # with each of its executions, which have no text of their own.
  Scenario: Executions of large prepared statements wait for a target
    Then an execution of a prepared statement of 1 MiB counts with its whole size
