Feature: A planned stop answers every statement, and ends what is open in time

  Scenario: A host is stopped while its callers' transactions are busy all the time
    # Guards against LOST: commits of busy transactions that ran and were never answered.
    Given a site with 2 hosts
    And statements take 70 ms at members
    When a host gets SIGTERM, and callers begin transactions that are still busy at half of the grace period
    Then every statement that a caller sent before its connection ended was answered
    And no statement ran in these transactions later than a statement after half of the grace period
    And the process exited within the grace period

  Scenario: A transaction is busy when open transactions end
    # Guards against a transaction that goes on because it was busy when the others were ended.
    Given a session in a transaction whose statement runs
    When the session is stopped
    Then the statement is answered with its result, and then the transaction is rolled back
    And its next statement is not sent, and its commit is answered as lost

  Scenario: A transaction begins, or becomes idle, after open transactions have ended
    # Guards against operations that begin when nothing would end them.
    Given a session without a transaction
    When the session is stopped
    Then a transaction or statement that begins is refused as stopping, at once

  Scenario: A transaction has no statement yet when open transactions end
    # Guards against a transaction that is opened in the background and left to itself.
    Given a session whose transaction is being opened in the background
    When the session is stopped
    Then the transaction is rolled back once it is open

  Scenario: Statements still run, or wait, when the time for answers is over
    # Guards against LOST: a connection that ends with its statements unanswered.
    Given a server of callers with a statement that does not end and others behind it
    When the server is stopped
    Then the running statement is answered as of unknown outcome, and the others as not executed
    And nothing is sent to the caller afterwards

  Scenario: A caller connects to a host that is stopping
    # Guards against a statement that is sent to a session that is closed at once.
    Given a server of callers that is draining
    When a caller opens a session, and when another does with a statement in the same packet
    Then both are refused as stopping, and their connections are closed

  Scenario: Transactions of other hosts' callers use the links of a stopping host
    # Guards against commits that are cut off at the host that owns the links.
    Given an executor with an idle transaction and one whose commit runs
    When the executor is stopped
    Then the idle transaction is rolled back at once, and the commit is answered
    And it begins nothing new

  Scenario: A daemon's transaction is busy when open transactions end
    # Guards against a transaction of the own interface that goes on until the daemon cuts it.
    Given an idle and a busy open transaction of a daemon's group
    When the daemon's open transactions end
    Then the idle one is rolled back at once, and the busy one once its statement has ended
    And a transaction that begins afterwards, or was beginning, is refused as stopping

  Scenario: A daemon stops while a transaction is open and a request runs for longer than it may
    # Guards against requests of the own interface that end without a response at a stop.
    Given a daemon with an open transaction and a request that does not end
    When it is stopped
    Then the transaction is ended at half of its time, and the request is answered as unknown

  Scenario: SIGTERM comes twice
    # Guards against a second signal that ends the process or begins the stop anew.
    Given a site with 1 hosts
    When its host gets SIGTERM twice, 0.4 s apart, while a caller's transaction is open
    Then the transaction commits, and the process exited within the grace period
