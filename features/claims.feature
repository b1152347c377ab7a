Feature: A promotion that was begun is ended by somebody, and by one host at a time

  Scenario: The process that began it has ended, and its host lives again
    Given a host that knows of a promotion begun by another host
    When that host starts again as another process
    Then the promotion may be taken over at once

  Scenario: The process that began it does not answer
    Given a host that knows of a promotion begun by another host
    When that host is suspected
    Then the promotion may be taken over at once

  Scenario: The process that began it lives
    Given a host that knows of a promotion begun by another host
    Then the promotion may only be taken over after 8 s

  Scenario: Another host replaces the primary while this one waits for the duty
    Given a host that waits for the duty to replace a primary
    When another host has replaced it meanwhile
    Then this host begins nothing

  Scenario: The store refuses the first two promoters and serves the third
    Given 3 hosts, of which the store serves the one that is the last choice as a promoter
    When the first promoter hears that a primary is silent
    Then the host that the store serves begins to replace it within 2 s

  Scenario: A host goes on with a promotion that the store interrupted
    Given a host that has begun a promotion itself
    Then it goes on with it unless it is at work on it
