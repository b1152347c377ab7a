Feature: Failover loses no acknowledged write, and a replaced primary acknowledges none

  Scenario: The primary is killed under load
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: The primary is isolated from its replicas but still reachable by callers
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is isolated from its replicas
    Then another member becomes primary
    And writes are acknowledged again
    When the primary is reconnected to its replicas
    Then all members have the same log
    And the surviving log matches the reported outcomes

  Scenario: The primary is frozen and resumes after it was replaced
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is frozen
    Then another member becomes primary
    And writes are acknowledged again
    When the frozen member resumes
    Then all members have the same log
    And the surviving log matches the reported outcomes

  Scenario: The group's owner freezes during a promotion and resumes after its successor has finished it
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is killed and the group's owner freezes 0.25 s later
    Then writes are acknowledged again
    When the group's frozen owner resumes
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: Two owners of the group are killed in a row
    Given a fleet of 5 daemons behind the fault proxy
    When callers write and read
    And the group's owner is killed
    Then writes are acknowledged again
    When the group's owner and the primary are killed together
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: Both replicas lag when the primary is killed
    Given a fleet of 3 daemons behind the fault proxy
    And replicas apply 1.5 s late
    When callers write and read
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: The response to a conditional update is lost after the platform has applied it
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the platform loses its next 2 responses to writes
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: The platform is down when the primary is killed
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the platform goes down
    And the primary is killed
    Then writes are acknowledged again
    When the platform recovers
    Then the platform shows the new primary
    And the surviving log matches the reported outcomes
