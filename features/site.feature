Feature: Host processes serve the users' platform end to end

  Scenario: Statements, transactions, session variables and prepared statements of a session
    Given a site with 3 hosts
    Then a session reads what it wrote, in and outside transactions
    And names of prepared statements are separate for each session
    And session variables are sent to the member before each statement
    And malformed, unknown and oversized requests are refused with the matching error code

  Scenario: Members receive statements under the team's name
    Given a site with 2 hosts
    When callers of two teams write at every host
    Then members received each team's own writes under the team's name

  Scenario: The primary stops responding under load
    Given a site with 3 hosts
    When callers write while the primary stops responding
    Then writes are served again within 3 s
    And no write was applied twice, and no refused write was applied
    And the old primary becomes a replica once it responds again

  Scenario: The primary and the only replica that has every commit stop responding
    Given a site with 3 hosts whose commits wait for 1 replica
    When callers write, the primary stops responding permanently and the up-to-date replica for 5 s
    And all hosts are killed and restarted with empty caches
    Then no member is promoted while the up-to-date replica does not respond
    And writes are served again within 4 s
    And no acknowledged write is missing at the new primary

  Scenario: All hosts are killed during a promotion, and another host is the coordinator afterwards
    Given a site with 3 hosts
    When the first coordinator is down, all members stop responding, and all hosts are killed during the promotion
    And the replicas respond again and all hosts are restarted
    Then writes are served again within 4 s

  Scenario: Members' addresses are reassigned to members of another group
    Given a site with 2 hosts and 2 groups
    When the addresses of a group are reassigned to the other group while it is still listed
    Then no host serves a statement, and the other group's members executed none
    And statements are served after the members get their addresses back

  Scenario: The primary is draining
    Given a site with 3 hosts
    When callers write while the primary is registered as draining
    Then writes are served again within 3 s
    And no acknowledged write is missing at the new primary

  Scenario: A primary whose connections are all in use is not replaced
    Given a site with 2 hosts
    When other clients hold all connections of the primary for 2 s
    Then no member was promoted, and writes are served afterwards

  Scenario: A key is withdrawn while its session is open
    Given a site with 2 hosts
    When a key that an open session uses is withdrawn
    Then the session is refused within 3 s and the other team is served

  Scenario: The store is down for longer than hosts may use cached keys
    Given a site with 2 hosts
    When the store is down for 5 s
    Then statements are served for 2 s, refused from 4 s on, and served again after the store recovers

  Scenario: The store compacts its history and loses responses
    Given a site with 2 hosts
    When the store compacts its history and loses half of its responses to writes
    Then a new configuration is in force within 3 s at every host

  Scenario: A host is stopped while it serves
    Given a site with 3 hosts
    When a host gets SIGTERM while callers use it
    Then it reports not ready, finishes the requests it has read, and exits in time
    And callers at the other hosts get no errors

  Scenario: A running host reloads its settings
    Given a site with 1 hosts
    When a host gets SIGHUP with a valid and with an invalid settings file
    Then it keeps serving

  Scenario: A host has no file descriptor left for another caller
    Given a site with 1 host whose file descriptors allow 5 callers
    When 5 callers open a session
    Then another caller is rejected and the host reports not ready
    And a new caller is served after another one disconnects

  Scenario: A team exceeds its rate across all hosts
    Given a site with 3 hosts and a rate of 20 a second and a burst of 10
    When a team sends reads without pause at every host for 6 s
    Then no 5 s window admits more than rate and burst allow, and most of the rate is admitted

  Scenario: A transaction is idle for too long
    Given a site with 1 hosts
    When a transaction is idle for longer than the configuration allows
    Then its next statement is refused, it is rolled back, and the session stays usable

  Scenario: The owner of the primary's links is killed during a transaction
    Given a site with 3 hosts
    When the host that owns the primary's links is killed during a transaction
    Then the commit is refused or its outcome unknown, and writes are served again within 3 s
