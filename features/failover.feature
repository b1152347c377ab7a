Feature: No acknowledged write is lost, and no replaced primary acknowledges one

  Scenario: The primary is killed under load
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log agrees with what callers were told

  Scenario: The primary is cut off from its group while callers still reach it
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is cut off from its replicas
    Then another member leads
    And writes are acknowledged again
    When the cut heals
    Then all members hold the same log
    And the surviving log agrees with what callers were told

  Scenario: The primary is frozen and wakes as a replaced one
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is frozen
    Then another member leads
    And writes are acknowledged again
    When the frozen member wakes
    Then all members hold the same log
    And the surviving log agrees with what callers were told

  Scenario: The owner freezes inside a promotion and wakes after its successor finished
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the primary is killed and the owner freezes 0.25 s later
    Then writes are acknowledged again
    When the frozen owner wakes
    Then writes are acknowledged again
    And the surviving log agrees with what callers were told

  Scenario: Two owners are killed in a row
    Given a fleet of 5 daemons behind the fault proxy
    When callers write and read
    And the owner is killed
    Then writes are acknowledged again
    When the owner and the primary are killed together
    Then writes are acknowledged again
    And the surviving log agrees with what callers were told

  Scenario: Both replicas lag when the primary dies
    Given a fleet of 3 daemons behind the fault proxy
    And replicas apply 1.5 s late
    When callers write and read
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log agrees with what callers were told

  Scenario: The answer of the platform's conditional update is lost after it took effect
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the platform loses its next 2 answers to writes
    And the primary is killed
    Then writes are acknowledged again
    And the surviving log agrees with what callers were told

  Scenario: The platform is down when the primary dies
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And the platform goes down
    And the primary is killed
    Then writes are acknowledged again
    When the platform comes back
    Then the platform shows the new primary
    And the surviving log agrees with what callers were told
