Feature: A host keeps its store cache current through few other hosts, also during store outages

  Scenario: A host with an old cache pulls from the store readers of other zones, not from every host
    Given a host of a fleet of 68 hosts in 4 zones
    When the store reader of its zone has a cache that is 1.7 s old
    Then it pulls every topic from at most 6 hosts and nothing from the others

  Scenario: The first hosts of all zones lose the store while the others reach it
    Given 20 running fleets of 8 hosts in 3 zones, whose processes stall for up to 0.2 s
    When the store refuses the first host of each zone
    Then the next hosts of the zones read the store
    And caches are younger than 2.4 s at the hosts that the store serves, and than 3.3 s at the others

  Scenario: While the store is unreachable hosts hear from a majority through one host of each zone
    Given a running fleet of 68 hosts in 4 zones whose caches are 1.6 s old
    When the store stays unreachable until the caches are 3.2 s old
    Then every host has heard from a majority from when its cache was 2.4 s old
    And every host asked at most 2 hosts of each zone and 2 more at a time, and one of each zone its zone's 16 too

  Scenario: Hosts that are cut off from a majority have not heard from one
    Given a running fleet of 68 hosts in 4 zones whose caches are 1.6 s old
    When the store stays unreachable and 33 hosts are cut off from 35 until the caches are 5.5 s old
    Then the 33 hosts have not heard from a majority after their caches were 4.6 s old
    And the 35 hosts have heard from a majority

  Scenario Outline: A bare majority hears from itself although a round reaches nobody of a zone
    Given a running fleet of 68 hosts in 4 zones whose caches are 1.6 s old, with delays from seed <seed>
    When the store stays unreachable and 33 hosts are cut off from 35 until the caches are 5.5 s old
    Then the 33 hosts have not heard from a majority after their caches were 4.6 s old
    And the 35 hosts have heard from a majority

    Examples:
      | seed |
      | 6    |
      | 40   |
      | 50   |

  Scenario: The only host of a zone that answers is asked in every round
    Given a host of a fleet of 68 hosts in 4 zones
    When the store stays unreachable for 12 s and one host of another zone answers, not its first
    Then that host was asked in every round after the first that reached it

  Scenario: A report of a zone by a host that has heard from few does not hide an earlier one
    Given a host of a fleet of 68 hosts in 4 zones
    When a host of each zone reports 9 hosts, then another of the same zone only itself
    Then it has heard from a majority until the reports of 9 are 2.4 s old, and not after

  Scenario: An assignment that a majority accepted is known wherever a majority was heard from
    Given a running fleet of 68 hosts in 4 zones whose caches are 1.6 s old
    When 35 hosts accept an assignment while the store stays unreachable
    Then 2.4 s later every host that has heard from a majority knows the assignment

  Scenario: The only host that still reads the store is found among many
    Given a running fleet of 68 hosts in 4 zones whose caches are 3 s old
    When no host but the last hears from the store for 2.4 s
    Then the caches of all hosts are younger than 1.6 s

  Scenario: A new configuration is pulled once, though many hosts have it
    Given a host of a fleet of 68 hosts in 4 zones
    When its cache is 1.7 s old and all hosts have a newer configuration
    Then it receives the configuration once

  Scenario: Few hosts try to reach an unavailable store
    Given a host of a fleet of 68 hosts in 4 zones
    When the store refuses every call for 2 s
    Then it made at most 3 calls, and the first host of a zone at least 3

  Scenario: A new host that the store serves asks no seed
    Given a new host that the store serves after 0.1 s
    When it joins through 3 seeds of which the first is down
    Then it asked no seed

  Scenario: A new host that the store does not serve asks seeds until one answers
    Given a new host that the store does not serve
    When it joins through 3 seeds of which the first is down
    Then it asked the first two seeds until the second named the fleet's hosts

  Scenario: A host whose cache has aged becomes its zone's reader
    Given a running fleet of 8 hosts in 4 zones whose caches are 1.4 s old
    When the store serves the first host again
    Then 0.3 s later the cache of the first host is younger than 0.5 s
