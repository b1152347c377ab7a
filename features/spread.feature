Feature: A host keeps its store cache current through few other hosts, also during store outages

  Scenario: A host with an old cache pulls from the store readers of other zones, not from every host
    Given a host of a fleet of 68 hosts in 4 zones
    When the store reader of its zone has a cache that is 1.7 s old
    Then it pulls every topic from at most 6 hosts and nothing from the others

  Scenario: The first hosts of all zones lose the store while the others reach it
    Given a host of a fleet of 8 hosts in 3 zones
    When the store refuses the first host of each zone
    Then the next hosts of the zones read the store
    And caches are younger than 2.4 s at the hosts that the store serves, and than 3.3 s at the others

  Scenario: While the store is unreachable a host pulls assignments from every host and the rest from few
    Given a host of a fleet of 68 hosts in 4 zones
    When no host has heard from the store for 3 s
    Then it pulls every topic from at most 7 hosts and only assignments from the others
    And it has heard from a majority

  Scenario: The only host that still reads the store is found among many
    Given a host of a fleet of 68 hosts in 4 zones
    When no host but the last has heard from the store for 3 s
    Then it pulls every topic from the last host, and its cache is younger than 1.6 s

  Scenario: Few hosts try to reach an unavailable store
    Given a host of a fleet of 68 hosts in 4 zones
    When the store refuses every call for 2 s
    Then it made at most 3 calls, and the first host of a zone at least 3
