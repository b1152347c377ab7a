Feature: Separate processes serve a request end to end

  Scenario: A row is read through other daemons than it was written through
    Given a fleet of 3 daemons with one group
    When a caller writes a row through daemon 1
    Then the row is read through daemon 2 and through daemon 3
    And the read was served by a replica
    And no target received the caller's key

  Scenario: The primary is killed and is replaced without an operator
    Given a fleet of 3 daemons with one group
    When a caller writes a row through daemon 1
    And the primary is killed
    Then the next write is acknowledged
    And the row is read through daemon 2 and through daemon 3
    And the fleet explains the promotion
