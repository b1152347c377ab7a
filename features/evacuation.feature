Feature: Members in evacuated zones get nothing more, and cold members get little

  Scenario: What a host may send after it learned of an evacuation
    Then replicas get nothing new at once, and open transactions 1 s
    And a primary gets work until 3 s before the bound ends, as counted from when the host learned
    And a host that may have learned late stops sooner, and one that has just started sends nothing
    And with a bound below 3 s the primary gets nothing new at once

  Scenario: Work that only members in evacuated zones could run
    Then it is refused if all members are evacuated, or the primary's time is over, else it waits

  Scenario: Statements to cold members, at any times
    Then two owners together send no more in any second than the group allows
    And a statement that must not wait is refused, and counts for nothing
    And a member that leaves the list and returns within a second gets no more for it
    And members are paced only while they are cold, or just back, and the group has a rate

  Scenario: Candidates in evacuated zones
    Then they come last, but with synchronous replicas never before a longer log elsewhere

  Scenario: Evacuations in the store and the settings
    Then any object of the kind counts as an evacuation, whatever it holds
    And a member's time to warm up, a group's rate and the settings are decoded, odd ones limited

  Scenario: Hosts of one zone, of which one reads the store
    Then a host pulls them from another one, and an earlier version can decode its request

  Scenario: A host without the setting
    Then it asks the store for everything but evacuations, and is ready without them

  Scenario: The store has no usable answer about evacuations
    Then the keys and assignments stay fresh, and nothing begins at members

  Scenario: A host follows the store through a restore from a copy without the evacuation
    Then the zone stays evacuated until what the copy lacks could have been written again

  Scenario: The owner of a replica's links learns of an evacuation
    Then open transactions there end within 1 s as lost, and new statements are refused as not sent
    And a statement in it that waits for its turn is answered as lost within 1.1 s too

  Scenario: The owner of the links to an evacuated primary that nobody can replace
    Then what waits for a link is refused once its time is over, as is the open transaction

  Scenario: A cold primary
    Then its writes wait for their turn, and are not sent if it is replaced meanwhile

  Scenario: A read meets a cold replica that has had its share
    Then it goes to another member, or waits for this one without asking it all the time

  Scenario: A coordinator finds the primary in an evacuated zone
    Then it replaces it as planned unless all others are leaving or evacuated too
    And no member in an evacuated zone is ordered to lead, and no commit is given up for it
    And an order that waits for its lease is not sent to a member whose zone is evacuated meanwhile

  Scenario: Replicas are evacuated and come back cold
    Given a site of 3 hosts whose bound for evacuations is 4 s and whose members start cold
    When the zone of a replica with an open transaction is evacuated under load
    Then the replica's transaction is aborted, and it gets no statement after the bound
    And callers' reads go on elsewhere
    When the evacuation is withdrawn, and the replica has restarted cold
    Then it gets statements again, and never more in a second than it may

  Scenario: The primary's zone is evacuated
    Given a site of 3 hosts whose bound for evacuations is 4 s and whose members start cold
    When callers write while the primary's zone is evacuated
    Then another member is promoted within the bound, and the old one gets no statement after it
    And no acknowledged write is missing at the new primary

  Scenario: A primary is evacuated that nobody can replace, and then all zones are
    Given a site of 3 hosts whose bound for evacuations is 4 s and whose members start cold
    When the zones of both replicas and then that of the primary are evacuated
    Then reads and writes are refused at once as not run, and no member gets a statement
    And a host that is restarted meanwhile sends none either
    And writes are served again within 3 s of the withdrawal
