Feature: Hosts exchange position samples, so that few reads need the primary to get one

  Scenario: One host of each zone collects a group's samples
    Given a fleet of 30 hosts in 3 zones whose primary's owner has samples
    When every host needs a sample that is at most 1 s old
    Then every host has one
    And at most 1 request of each zone crossed zones

  Scenario: A received sample never appears younger than it is
    Given a fleet of 30 hosts in 3 zones whose primary's owner has samples
    And calls between hosts take 0.03 s
    When every host needs a sample that is at most 1 s old
    Then every host has one
    And no host counts a sample from a later time than the owner does

  Scenario: Samples are renewed before they are too old
    Given a fleet of 30 hosts in 3 zones whose primary's owner has samples
    When the collector of a zone is asked for a sample that is older than half the allowed age
    Then it answers at once, and has a newer sample shortly after

  Scenario: A burst of reads waits for the sample of a statement in flight
    Given a fleet of 30 hosts in 3 zones whose primary's owner has no samples
    When every host needs a sample while a statement at the primary takes 0.03 s
    Then every host has one

  Scenario: The owner of the primary's links does not answer
    Given a fleet of 30 hosts in 3 zones whose primary's owner is unreachable
    When a host needs a sample several times within 0.2 s
    Then it got none within 0.15 s, and asked only once
