Feature: Every session reads its own writes through any host

  Scenario Outline: Sessions change hosts on every request while replicas lag
    Given a fleet of 3 daemons behind the fault proxy
    And replicas apply <lag> s late
    When callers write and read
    And callers continue for 3 s
    Then the surviving log matches the reported outcomes
    And no read was refused

    Examples:
      | lag |
      | 0.0 |
      | 0.2 |
      | 5.0 |

  Scenario: Sessions change hosts during a failover while replicas lag
    Given a fleet of 3 daemons behind the fault proxy
    And replicas apply 0.4 s late
    When callers write and read
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: Reads are never older than their maximum age
    Given a fleet of 3 daemons behind the fault proxy
    And replicas apply 1.0 s late
    When a counter is written and read with maximum ages of 0.0, 0.6 and 3.0 s
    And the primary is isolated from its replicas
    And callers continue for 3 s
    Then no read was older than its maximum age

  Scenario: A bounded read that falls back to the primary after a replica was behind
    Given a replica that is behind, and a primary that was replaced without knowing
    Then a read of data up to 5 s old is refused, and one of data of any age is served

  Scenario: A member's report that takes long counts from when it was requested
    Given a primary that takes 0.25 s to report its progress
    Then a position sample from its report is as old as the request
