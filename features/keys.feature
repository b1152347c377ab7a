Feature: A key gives access only to what its team may use, and a withdrawn one is refused within seconds

  Scenario: A key is withdrawn under traffic on all daemons
    Given a fleet of 3 daemons behind the fault proxy
    When a second key is used on every daemon and in an open transaction
    And the second key is withdrawn
    Then within 3 s no daemon serves the second key
    And the open transaction of the second key was rolled back

  Scenario: An isolated daemon stops serving
    Given a fleet of 3 daemons behind the fault proxy
    When a second key is used on every daemon and in an open transaction
    And daemon 1 is isolated from all others and the platform
    And the second key is withdrawn through daemon 2
    Then within 3 s no daemon serves the second key
    And daemon 1 refuses every key because its settings are stale

  Scenario: The platform is down for all daemons
    Given a fleet of 3 daemons behind the fault proxy
    When the platform goes down
    And callers continue for 4 s
    Then the team's key works on every daemon
    And a change of settings is refused
    When the platform recovers
    Then a change of settings is accepted

  Scenario: A withdrawal reaches a daemon that was frozen
    Given a fleet of 3 daemons behind the fault proxy
    When a second key is used on every daemon and in an open transaction
    And daemon 1 is frozen, the second key is withdrawn, and daemon 1 resumes after 4 s
    Then no daemon serves the second key

  Scenario: A team can use only its own routes, sessions and transactions, and only with a known key
    Given a fleet of 2 daemons with one group
    And a second team with a key and a route of its own
    Then the second team is refused on the first team's route
    And the second team cannot use the first team's session
    And the second team cannot use the first team's transaction
    And an unknown key and a missing key are refused
    And an open route serves without a key

  Scenario: No target and no peer receives a caller's key
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And callers continue for 1 s
    Then the key appears in no forwarded request, in no log and in no metric

  Scenario: A daemon is suspended with its machine for longer than its settings stay fresh
    Given a daemon whose settings the platform just confirmed
    When its machine is suspended for 10 s
    Then its settings are not fresh any more
