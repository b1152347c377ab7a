Feature: What a host knows of the store comes from few hosts, whatever becomes of the store

  Scenario: A host whose copy ages asks the readers of other zones, not every host
    Given a host of a fleet of 68 hosts in 4 zones
    When the reader of its zone has a copy that is 1.7 s old
    Then it pulls everything from at most 6 hosts and nothing from the others

  Scenario: The readers of all zones miss the store, and others reach it
    Given a host of a fleet of 8 hosts in 3 zones
    When the store refuses the first host of each zone
    Then the next hosts read it
    And copies are younger than 2.4 s at the hosts that it serves, and than 3.3 s at the others

  Scenario: While the store is away a host hears every host's leads, and the rest from few
    Given a host of a fleet of 68 hosts in 4 zones
    When no host has heard from the store for 3 s
    Then it pulls everything from at most 7 hosts and only leads from the others
    And it hears a majority

  Scenario: A host that still reads the store is found among many
    Given a host of a fleet of 68 hosts in 4 zones
    When no host but the last has heard from the store for 3 s
    Then it pulls everything from the last host, and its copy is young

  Scenario: An absent store is tried by few hosts
    Given a host of a fleet of 68 hosts in 4 zones
    When the store refuses every call for 2 s
    Then it made at most 3 calls, and the first host of a zone at least 3
