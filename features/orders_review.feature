Feature: No claim, order or record of a failover outlives what replaced it

  Scenario: A claimant that was replaced does not store the old primary over its successor's result
    Given a model of a group whose hosts have long known each other
    When the coordinator is cut off from the other hosts, and a successor promotes another member
    And the coordinator's own failover ends, and it finds only the old primary
    Then a host that starts within a second of that uses no replaced primary

  Scenario: An order is not sent under an earlier order's record after its own could not be stored
    Given a model of a group whose hosts have long known each other
    When an order is rejected, and 12 s later the store refuses the record of the next one
    And the order after that takes 6 s and is not answered, and its sender freezes
    Then no host may use a replaced primary for 20 s

  Scenario: An order of a process that has ended arrives after its successor's
    Given a model of a group whose hosts have long known each other
    When an order takes 0.5 s and is not answered, and the process that sent it ends
    Then the platform sees no lower token than before in the next 20 s

  Scenario: A group with a synchronous replica has lost the ordered member, and the old primary is back
    Given a model of a group with a synchronous replica
    When the primary crashes, and the ordered member is lost for good as it is promoted
    And the old primary comes back as a replica, while the other replica lacks a commit
    Then all hosts use the old primary within 30 s

  Scenario: A member of a group with a synchronous replica is used before its promotion is stored
    Given a model of a group with a synchronous replica
    When a member is promoted, but the store refuses its settled assignment for 10 s
    Then no host uses it before the store has the assignment, and all do 30 s later

  Scenario: Only the primary that was replaced answers, and lacks commits that hosts report
    Given a model of a group with a synchronous replica
    When hosts report a commit that the old primary lacks, and the replicas go dark for 60 s
    Then only a member with every acknowledged commit is ordered in the next 40 s

  Scenario: A store comes back from a copy without the record of an order, and its sender has ended
    Given a model of a group whose hosts have long known each other
    When the store loses the record of an accepted order, whose sender ends
    And the replicas go dark as the order takes effect
    Then no host may use a replaced primary for 20 s
