Feature: What a host concludes from the eras of the store

  Scenario: The record of an era is written only after every lost assignment
    Given a coordinator that knows assignments which the store has lost
    Then the store gets the record of the era after all of them

  Scenario: The record of an era is written again after a late write of an earlier era's record
    Given a coordinator that has recorded the era
    When a write of the earlier era's record is done late
    Then the store gets the record of the era again

  Scenario: Beliefs of earlier eras last as long as the deployment lets assignments be used
    Given deployments that allow assignments to be used for 1, 2.4 and 6 s
    Then an era's assignments count as complete, and the lease may be taken, only after that time

  Scenario: An older configuration written in a new era does not count as the operator's latest
    Given a host that knows version 16 when the store comes back from a copy with version 10
    When the operator writes version 13
    Then the settings are not known in full before version 16 is written

  Scenario: A process that starts the fleet has no earlier era to wait for
    Given a process that starts the fleet, and one that does not
    When both read the store in era 1
    Then only the one that starts the fleet knows the settings and assignments in full
    When the store comes back in era 2
    Then neither counts what it reads as complete

  Scenario: A process told to start the fleet waits if the store has a record of an earlier era
    Given a process that starts the fleet, and one that does not
    When both read era 2 of a store that has the record of era 1
    Then neither knows the settings and assignments in full

  Scenario: A daemon that starts does not take an empty store of a later era for a new one
    Given daemons whose first look at the store is at an empty one, in eras 1 and 4
    Then only that of era 1 takes the store for a new one

  Scenario: What a new era lacks is removed in time although clocks round the time that is left
    Given hosts whose clocks read up to 2048 s when the store comes back without a record
    Then each removes the record 2 to 2.1 s later

  Scenario: An object whose origin can't be read does not keep a daemon from the others
    Given a daemon whose store has objects that name their origin in unknown ways
    Then the daemon knows all of them, each by the revision that the store gave it

  Scenario: The timeline shows the eras of the store
    Given logs of a host that met a new era of the store
    Then the timeline names the new era, when it was settled, and what was written again
