Feature: The store may come back from an older copy, in a new era

  Scenario: A configuration written after the store came back from an older copy is in force in time
    Given a site with 3 hosts
    When the store comes back from a copy that lacks two configurations, and the operator writes the last one again
    Then the routes of the lost configurations are still served at every host
    And a route added after the restore is served within 3 s at every host
    And the hosts call the store at most 1.5 times as often as before, beside one list a topic

  Scenario: A host that starts while an older copy is current does not accept a key withdrawn since
    Given a site with 3 hosts
    When a key is withdrawn, the store comes back from a copy that has it, and a host is restarted
    Then no host serves the withdrawn key while the operator writes the configuration again

  Scenario: Settings of the own interface changed after a restore are in force in time
    Given a fleet of 3 daemons behind the fault proxy
    When the platform comes back from a copy that lacks a key, which is then added again
    Then within 3 s every daemon serves the second key
    When the second key is withdrawn
    Then within 3 s no daemon serves the second key

  Scenario: A key withdrawn from the own interface stays withdrawn when an older copy has it
    Given a fleet of 3 daemons behind the fault proxy
    When a second key is used on every daemon and in an open transaction
    And the second key is withdrawn, and the platform comes back from a copy that has it
    Then no daemon serves the second key, and the platform loses it again within 3 s

  Scenario: A daemon that starts while an older copy is current does not accept a key withdrawn since
    Given a fleet of 3 daemons behind the fault proxy
    When a second key is used on every daemon and in an open transaction
    And the second key is withdrawn, the platform comes back from a copy that has it, and daemon 3 is restarted
    Then no daemon serves the second key, and the platform loses it again within 3 s
    And daemon 3 serves the first key

  Scenario: Settings that an older copy lacks stay in force and are written again
    Given a fleet of 3 daemons behind the fault proxy
    When the platform comes back from a copy that lacks a key and has an older deadline
    Then the key and the newer deadline stay in force, and the platform has both again within 3 s

  Scenario Outline: No daemon refuses requests though an era is settled late
    Given 8 models of <count> daemons
    When the platform comes back without a change, and the threads that repair it are late by <late> s
    Then no daemon refused requests as stale, and all agree in the end

    Examples:
      | count | late |
      | 3     | 1.5  |
      | 3     | 4    |
      | 8     | 4    |

  Scenario Outline: No daemon refuses requests when an outage of the platform begins
    Given 8 models of <count> daemons
    When the platform is unavailable for 8 s
    Then no daemon refused requests as stale, and all agree in the end

    Examples:
      | count |
      | 3     |
      | 8     |

  Scenario: A daemon whose settings grow old awaits one answer at a time of a peer that is silent
    Given 1 models of 3 daemons
    When the platform and two daemons become silent
    Then the third awaits at most one answer of each when their reports become doubtful

  Scenario: A daemon does not refuse requests while a thread records that its settings are fresh
    Given a daemon in an outage that hears from two others
    When one of them reports fresh settings while the state of the daemon's settings is determined
    Then the daemon's settings are fresh, not stale

  Scenario: A primary stops responding after the store has forgotten the promotion that made it primary
    Given a site with 3 hosts
    When the store is copied
    And callers write while the primary stops responding
    Then writes are served again within 3 s
    When the store comes back from a copy of before the promotion, the host that ordered it is restarted, and the new primary stops responding
    Then writes are served again within 6 s
    And the second promotion was ordered with a higher fencing token
    And no write was applied twice, and no refused write was applied
