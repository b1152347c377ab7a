Feature: Planned restarts and leaving members interrupt no request

  Scenario: Every daemon is restarted in turn under load
    Given a fleet of 3 daemons with one group
    When callers write and read behind a load balancer
    And every daemon is stopped gracefully and started again, one after another
    Then no caller saw an error
    And the surviving log matches the reported outcomes

  Scenario: Every daemon is restarted in turn under load of callers that stall
    Given a fleet of 3 daemons with one group
    When callers that stall for up to 0.8 s write and read behind a load balancer
    And every daemon is stopped gracefully and started again, one after another
    Then no caller saw an error
    And the surviving log matches the reported outcomes

  Scenario: A leaving primary is replaced under load
    Given a fleet of 3 daemons with one group
    When callers write and read behind a load balancer
    And the primary is marked as leaving
    Then another member becomes primary
    And callers continue for 2 s
    And no caller saw an error
    And the leaving member gets no requests for a second
    And the surviving log matches the reported outcomes

  Scenario: A leaving replica gets no new reads
    Given a fleet of 3 daemons with one group
    When callers write and read behind a load balancer
    And a replica is marked as leaving
    And callers continue for 4 s
    Then the leaving member gets no requests for a second
    And no caller saw an error

  Scenario: Open transactions on a leaving primary may finish
    Given a fleet of 3 daemons with one group
    When callers run transactions of two rows
    And the primary is marked as leaving
    Then another member becomes primary
    And callers continue for 2 s
    And no caller saw an error
