Feature: An interrupted promotion is taken over, and only one host runs it at a time

  Scenario: The claiming process has ended and its host was restarted
    Given a host that knows of a promotion claimed by another host
    When that host is restarted as a new process
    Then the promotion may be taken over at once

  Scenario: The claiming process does not respond
    Given a host that knows of a promotion claimed by another host
    When that host is suspected
    Then the promotion may be taken over at once

  Scenario: The claiming process is alive
    Given a host that knows of a promotion claimed by another host
    Then the promotion may be taken over only after 8 s

  Scenario: Another host replaces the primary while this one waits for the promotion lease
    Given a host that waits for the promotion lease to replace a primary
    When another host replaces the primary in the meantime
    Then this host does not start a failover

  Scenario: Another host replaces the claim while this one does not hold the promotion lease
    Given a coordinator whose promotion lease expires while it fences
    When another host claims the failover, and this one takes the lease back before it hears of that
    Then this host orders no promotion

  Scenario: The store refuses the first two promoters and serves the third
    Given 3 hosts, of which the store serves only the last in the order of coordinators
    When the first coordinator receives a report that a primary does not respond
    Then the host that the store serves tries to replace the primary within 2 s

  Scenario: A host takes over its own promotion that a store failure interrupted
    Given a host that has claimed a promotion itself
    Then the host may take it over unless it is already running it
