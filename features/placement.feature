Feature: A host places statements by the reported load and the failures of members

  Scenario: Without reports and failures, distance alone decides
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    When 200 reads are placed
    Then all go to the replica in this zone
    When the replica in this zone leaves, and 200 reads are placed
    Then all go to the primary

  Scenario: Round trips to a near zone do not draw reads from a primary in this zone
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And all members report no load, and answer after 0.002 s if they are in another zone
    When the replica in this zone leaves, and 200 reads are placed
    Then all go to the primary

  Scenario: A queue at the replica in this zone sends reads to the other zone
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And the replica in this zone and the primary report a wait of 0.2 s
    When 200 reads are placed
    Then all go to the replica in the other zone
    When 1.1 s pass without a report, and 200 reads are placed
    Then all go to the replica in this zone

  Scenario: Hosts with the same report do not all choose the same replica
    Given a group whose primary is in another zone, with two replicas in this zone
    And the replicas report waits of 0.1 s and 0.11 s, and the primary one of 1 s
    When 200 reads are placed
    Then each replica gets at least 30 of them

  Scenario: The reports of an earlier owner are dropped
    Given a group whose primary is in this zone, with a replica in this zone and one in another
    And the replica in this zone and the primary report a wait of 0.2 s
    When both get another owner, and 200 reads are placed
    Then all go to the replica in this zone
