Feature: Real hosts serve the users' platform from end to end

  Scenario: Statements, transactions, values and prepared statements of one session
    Given a site with 3 hosts
    Then a session reads what it wrote, in and outside transactions
    And prepared names of two sessions do not mix
    And session values reach the member before each statement
    And what can't be understood, is unknown or too long is refused by its kind

  Scenario: A member is told the team and never the key
    Given a site with 2 hosts
    When callers of two teams write at every host
    Then members saw each team under its name and no key

  Scenario: The primary goes dark under load
    Given a site with 3 hosts
    When callers write while the primary goes dark
    Then writes are served again within 3 s
    And no write was kept twice, and none that was refused was kept
    And the old primary follows once it is back

  Scenario: The primary goes dark with the only replica that has every commit
    Given a site with 3 hosts whose commits wait for 1 replica
    When callers write, and the primary goes dark for good and the level replica for 5 s
    And all hosts are killed and started again, so that they know nothing
    Then nobody leads while the level replica is dark
    And writes are served again within 4 s
    And no acknowledged write is missing at the new primary

  Scenario: All hosts are killed in the middle of a promotion, and another one is the promoter then
    Given a site with 3 hosts
    When the first promoter is down, all members go dark, and all hosts are killed during the promotion
    And the replicas and all hosts are back
    Then writes are served again within 4 s

  Scenario: Members' addresses are used again by another group's members
    Given a site with 2 hosts and 2 groups
    When the addresses of a group go to members of the other group while it is still listed
    Then nothing is served at any host, and the other group's members ran nothing
    And statements are served once the members have their addresses again

  Scenario: A primary is to leave
    Given a site with 3 hosts
    When callers write while the primary reports that it leaves
    Then writes are served again within 3 s
    And no acknowledged write is missing at the new primary

  Scenario: Members whose connections are all taken are not replaced
    Given a site with 2 hosts
    When strangers take all connections of the primary for 2 s
    Then nobody was promoted, and writes are served afterwards

  Scenario: A key is withdrawn while its session is open
    Given a site with 2 hosts
    When a key is withdrawn that an open session uses
    Then the session is refused within 3 s and the other team is served

  Scenario: The store is down for longer than a key may go unconfirmed
    Given a site with 2 hosts
    When the store is down for 5 s
    Then keyed statements are refused from 4 s on, and served again after its return

  Scenario: The store loses its history and answers
    Given a site with 2 hosts
    When the store forgets its history and loses half of the answers to writes
    Then a new configuration is in force within 3 s at every host

  Scenario: A host is stopped while it serves
    Given a site with 3 hosts
    When a host is told to stop while callers use it
    Then it is not ready, finishes what it has read, and ends in time
    And callers at the other hosts noticed nothing

  Scenario: The settings change under a running host
    Given a site with 1 hosts
    When a host gets SIGHUP, also with a broken file
    Then it goes on serving

  Scenario: A host has no descriptor left for another caller
    Given a site with 1 host whose descriptors allow 5 callers
    When 5 callers have a session
    Then another caller is turned away and the host is not ready
    And a caller that comes after one has left is served

  Scenario: A team presses over its rate at all hosts
    Given a site with 3 hosts and a rate of 20 a second and a burst of 10
    When a team presses at every host for 6 s
    Then no 5 s hold more than its rate and burst allow, and it got most of them

  Scenario: A transaction rests for too long
    Given a site with 1 hosts
    When a transaction rests longer than the configuration allows
    Then its next statement is refused, it is rolled back, and the session goes on

  Scenario: The holder of the primary's links is killed in the middle of transactions
    Given a site with 3 hosts
    When the host that holds the primary's links is killed during a transaction
    Then the transaction's end is refused or unknown, and writes are served again within 3 s
