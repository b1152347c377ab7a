Feature: Hosts that the coordinator does not ask or no longer counts use no replaced primary

  Scenario: A host that confirmed a fence and restarted pulls the assignment from one not yet told
    Given a model of 4 hosts that may be cut off from each other in part
    When host 3 is cut off and host 0 replaces the primary, which hosts 1 and 2 confirm
    And host 1 restarts, hears host 3 alone for a while, and host 3 confirms the fence then
    Then no host may use a replaced primary in the next 16 s

  Scenario: Hosts removed from the register long ago vouch for the assignment of a host cut off later
    Given a model of 5 hosts that may be cut off from each other in part
    When hosts 0 and 1 are cut off for 25 s, and the register no longer has them
    And host 2 is cut off from all but them, and host 3 replaces the primary
    Then no host may use a replaced primary in the next 16 s

  Scenario: Hosts cut off while the register was small are a majority of what they know of it
    Given a model of 5 hosts that may be cut off from each other in part
    When hosts 0 and 1 are cut off for 25 s, and the register no longer has them
    And they return as hosts 2 and 3 are cut off, and host 4 replaces the primary
    Then no host may use a replaced primary in the next 16 s

  Scenario: A coordinator that restarted takes hosts that have just returned for long registered
    Given a model of 5 hosts that may be cut off from each other in part
    When hosts 0 and 1 are cut off for 25 s, and the register no longer has them
    And they return as hosts 2 and 3 are cut off, and host 4 restarts and replaces the primary
    Then no host may use a replaced primary in the next 16 s

  Scenario: A host that missed the deletion of its registration takes itself for long registered
    Given a model of 5 hosts that may be cut off from each other in part
    When hosts 0 and 1 are cut off for 25 s, and the register no longer has them
    And they read of their new registrations, and hosts 2 and 3 are cut off
    Then their confirmations count 10.3 s later at the earliest, and 11 s later

  Scenario: A host registers itself after a fence has read the register
    Given a model of 4 hosts that may be cut off from each other in part
    When host 3 is not registered, and is cut off from the other hosts
    And host 0 replaces the primary, and host 3's registration is stored before it reads that
    Then no host may use a replaced primary in the next 16 s

  Scenario: A coordinator that restarted after it removed a live host replaces the primary
    Given a model of 4 hosts that may be cut off from each other in part
    When host 0 can't reach host 3 and removes it, and the others lose it at that moment
    And host 0 restarts and replaces the primary
    Then no host may use a replaced primary in the next 16 s

  Scenario: The store loses the claim of a failover that waits for a host which reaches the store
    Given a model of 4 hosts that may be cut off from each other in part
    When hosts 2 and 3 reach no other host, and host 1 begins to replace the primary
    And the store comes back 0.75 s later from a copy that is older than the claim
    Then no host may use a replaced primary in the next 20 s

  Scenario: A watch that saw the fleet before a claim is answered late at a host that is cut off then
    Given a model of 4 hosts that may be cut off from each other in part
    When a watch of host 1 is answered without changes at once, and its answer comes as its wait ends
    And host 1 is cut off behind that answer, and host 0 replaces the primary
    Then no host may use a replaced primary in the next 16 s

  Scenario: The entry of the only replica that has a commit expires before the primary is replaced
    Given a group of a primary and 2 replicas in which a commit waits for 1 replica
    When the entry of the replica that has the last commit is removed, and its link's host is lost
    Then the other replica is not promoted

  Scenario: A leaving replica has a commit that no host reports, because the one that saw it is lost
    Given a group of a primary and 2 replicas in which a commit waits for 1 replica
    When the replica that has the last commit is leaving, and hosts report an earlier position
    Then the leaving replica is promoted

  Scenario: The owner of a transaction restarts, and its new process has opened as many transactions
    Given a host with a primary that answers a read after 0.2 s
    When a transaction is opened through the host, and another through its next process
    Then the next process runs no statement of the first transaction

  Scenario: A host answers at the address at which two hosts are known
    Given a host of a fleet of 3, of which another two are known at one address
    When it pulls from both while one process answers
    Then it has not heard from a majority

  Scenario: A zone's report counts hosts that the receiver does not know
    Given two hosts of a fleet of 7, of which one also knows 2 hosts that registered later
    When the other asks it which hosts it hears from, and it hears from the 2 and from the other
    Then the other has not heard from a majority, also after it has read of the 2

  Scenario: A zone's report counts hosts that are known by their hello and not yet registered
    Given two hosts of a fleet of 7, of which one also knows 2 hosts by their hello
    When the other asks it which hosts it hears from, and it hears from the 2 and from the other
    Then the other has not heard from a majority, also after it has read of the 2
