Feature: A host places statements by the reported load and the failures of members

  Scenario: Without reports and failures, distance alone decides
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When 200 reads are placed
    Then all go to the replica in this zone
    When the replica in this zone leaves, and 200 reads are placed
    Then all go to the primary

  Scenario: Round trips to a near zone do not draw reads from a primary in this zone
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And all members report no load, and answer after 0.002 s if they are in another zone
    When the replica in this zone leaves, and 200 reads are placed
    Then all go to the primary

  Scenario: A member that has answered few statements does not seem nearer than the others
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And the replica in this zone has answered 20 statements after 0.02 s or more
    When 200 reads are placed
    Then all go to the replica in this zone

  Scenario: A slow way to a zone is learned
    Given a group whose primary is in another zone, with two replicas in this zone
    And one replica answers after 0.004 s or more, the other 0.02 s later
    When 200 reads are placed
    Then all go to the replica with the shorter way

  Scenario: A queue at the replica in this zone sends reads to the other zone
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And the replica in this zone and the primary report a wait of 0.2 s
    When 200 reads are placed
    Then all go to the replica in the other zone
    When 1.1 s pass without a report, and 200 reads are placed
    Then all go to the replica in this zone

  Scenario: Hosts with the same report do not all choose the same replica
    Given a group whose primary is in another zone, with two replicas in this zone
    And the replicas report waits of 0.1 s and 0.11 s, and the primary one of 1 s
    When 200 reads are placed
    Then each replica gets at least 30 of them

  Scenario: The reports of an earlier owner are dropped
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And the replica in this zone and the primary report a wait of 0.2 s
    When both get another owner, and 200 reads are placed
    Then all go to the replica in this zone

  Scenario: A member that fails everything while its health is good is ejected, probed and readmitted
    Given a group whose primary is in another zone, with two replicas in this zone
    And the other members have a wait of 0.1 s
    When one replica fails every statement for 10 s of 20 reads a second
    Then it was ejected after 2 failures, and got at most 6 probes
    And no probe followed another within 0.5 s
    When it recovers, and 10 s more pass
    Then it was readmitted within 4.5 s of its recovery

  Scenario: After one failure another member without load is preferred for some seconds
    Given a group whose primary is in another zone, with two replicas in this zone
    When one replica fails every statement for 10 s of 20 reads a second
    Then it got at most 2 statements

  Scenario: A single failure ejects nobody
    Given a group whose primary is in another zone, with two replicas in this zone
    When one replica fails one statement of 20
    Then no member is ejected

  Scenario: A member that answers several times slower than the others is ejected
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When the members report service times of 0.015 s, 0.12 s and 0.016 s
    Then only the replica in this zone is ejected
    When the members report service times of 0.015 s, 0.02 s and 0.016 s
    Then no member is ejected

  Scenario: Replicas that shed an overload do not move all reads to a loaded primary
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And both replicas shed every second statement, and the primary reports a wait of 0.3 s
    When 200 reads are placed
    Then none go to the primary

  Scenario: Both replicas fail everything
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And both replicas failed their last 20 statements
    When 200 reads are placed
    Then all but probes go to the primary

  Scenario: Reads are not offered to replicas that are known to lag
    Given a played group whose primary is in another zone
    And both replicas lag
    When 40 reads are sent, one every 0.8 s
    Then all are answered within 0.05 s
    And all were served by the primary, after at most 22 attempts at replicas

  Scenario Outline: A read that one replica fails or sheds is served by another member
    Given a played group
    And the replica in this zone answers <kind> to everything
    When 20 reads are sent, one every 0.1 s
    Then all are answered within 0.05 s

    Examples:
      | kind          |
      | target_failed |
      | target_busy   |

  Scenario: Read-only transactions that a replica loses are opened elsewhere, and it is avoided
    Given a played group
    And the replica in this zone answers transaction_lost to everything
    When 20 read-only transactions are opened, one every 0.1 s
    Then all are answered within 0.05 s
    And at most 4 were sent to the replica in this zone

  Scenario: A read at a member that hangs is tried elsewhere soon, since answer times are known
    Given a played group
    When 30 reads are sent, one every 0.05 s
    And the replica in this zone hangs, and 30 reads are sent, one every 0.05 s
    Then all are answered within 0.25 s

  Scenario: A slow statement is not given up after the time of usual ones
    Given a played group
    When 30 reads are sent, one every 0.05 s
    And a read of 0.3 s is sent
    Then all are answered within 0.8 s

  Scenario: Nothing is known of a member that hangs
    Given a played group
    When the replica in this zone hangs, and 1 reads are sent, one every 0.05 s
    Then all are answered within 0.4 s
    And none is answered within 0.34 s

  Scenario Outline: An operation that no member can run in time is refused at once
    Given a played group
    And all members report waits of <waits> s to requests of priority 0, 1 and 2
    When a <verb> of priority <priority> is sent, then 50 more, one every 0.002 s
    Then <refused> of the 50 are refused as deadline within 0.001 s, to be retried in 0.6 to 1.3 s
    And refused ones were sent to no member, and are logged at most 10 times

    Examples:
      | waits         | verb  | priority | refused |
      | 0.1, 0.2, 2.0 | read  | 2        | all     |
      | 0.1, 0.2, 2.0 | write | 2        | all     |
      | 0.1, 0.2, 2.0 | write | 0        | none    |

  Scenario: A member whose report is too old to refuse by is tried
    Given a played group
    And all members report waits of 2.0, 2.0, 2.0 s to requests of priority 0, 1 and 2
    When a write of priority 1 is sent, and 0.4 s later another
    Then both were sent

  Scenario: A read waits for a replica to catch up, since the primary is overloaded
    Given a played group whose primary is in another zone
    And both replicas lag, and catch up after 0.3 s
    And the primary reports a wait of 2 s
    When 10 reads are sent, one every 0.01 s
    Then all are answered within 0.9 s
    And at most 1 was sent to the primary

  Scenario: A read is refused once its replicas lag and the primary is overloaded for too long
    Given a played group whose primary is in another zone
    And both replicas lag
    And the primary reports a wait of 2 s
    When 10 reads are sent, one every 0.01 s, while the primary reports that
    Then all but 3 are refused as deadline before their deadline

  Scenario: A write that can't be served before a failover ends is refused at once
    Given a played group
    And a failover whose promotion took 0.4 s while writes waited
    When a failover begins, and writes with 0.3 s and 0.6 s left are sent
    Then the first is refused as no_primary at once, and the other when 0.4 s are left
    And no write was sent to a member

  Scenario: A write waits for a promotion that has been ordered
    Given a played group
    And a failover whose promotion took 0.4 s while writes waited
    When a failover begins whose promotion is ordered, and ends after 0.2 s
    Then a write with 0.3 s left is served

  Scenario: Nothing is known of the time of promotions
    Given a played group
    When a failover begins, and writes with 0.3 s and 0.6 s left are sent
    Then both are refused as no_primary at their deadline

  Scenario Outline: A slow member is not checked for failure before it usually answers
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When the members report service times of <service> s, 0.01 s and 0.01 s
    Then the primary is checked after <seconds> s without a sign of life

    Examples:
      | service | seconds |
      | 0.01    | 0.18    |
      | 0.1     | 0.4     |
      | 0.9     | 0.6     |

  Scenario: A read-only transaction is placed like a read, but is no probe
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When 20 read-only transactions are placed
    Then all go to the replica in this zone
    When that replica is ejected and its probe due, and 20 read-only transactions are placed
    Then all go to the primary

  Scenario: Many hosts that know different reports keep the queues of a group about equal
    Given 20 hosts that use a group whose members take 0.02 s a statement
    When they send 380 reads a second for 10 s, of the 600 that the members can run
    Then all are served, and the queues of the replicas differ by 0.02 s on average at most

  Scenario: Twice the load that a group can run is refused at the hosts, and the rest served
    Given 20 hosts that use a group whose members take 0.02 s a statement
    When they send 1200 reads a second for 10 s, of the 600 that the members can run
    Then at least 5400 are served
    And at least 3 times as many are refused at their hosts as at an owner

  Scenario: A member that is five times slower gets about the share that it can run
    Given 20 hosts that use a group whose members take 0.02 s a statement, one replica 0.1 s
    When they send 200 reads a second for 10 s, of the 440 that the members can run
    Then at most 25% of the reads go to the replica r, and all are served

  Scenario: A member that fails everything at once gets few statements of many hosts
    Given 66 hosts that use a group whose members take 0.02 s a statement
    When the replica r fails everything, and they send 200 reads a second for 10 s
    Then at most 20% of the reads go to the replica r

  Scenario: Replicas that refused a read are tried again while there is no primary
    Given a played group
    And there is no primary, and all members answer no_owner for 0.1 s
    When 1 reads are sent, one every 0.05 s
    Then all are answered within 0.3 s

  Scenario: A replica that has caught up is tried although a nearer one still lags
    Given a played group whose primary is in another zone
    And both replicas lag, and only s catches up after 0.3 s
    When 100 reads are sent, one every 0.1 s
    Then s was sent at least 50 reads

  Scenario: A member that gets no probes does not stay ejected
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When the replica in this zone fails 5 transactions, and 20 s of others follow
    Then no member is ejected

  Scenario: A report of an earlier owner does not replace that of the present one
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When the primary gets another owner, and the earlier one reports a wait of 9 s
    Then a write is placed at the primary
