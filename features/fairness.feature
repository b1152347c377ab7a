Feature: A team that overloads a group does not starve the others

  Scenario: One team sends many times its share of requests
    Given a fleet of 3 daemons with one group
    And a statement takes 0.01 s and 5 teams use the group
    When one team overloads the group with 24 callers while the others send 10 requests a second each for 5 s
    Then no request of the others was refused
    And no request refused as queue_full was run
