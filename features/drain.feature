Feature: Planned stops and leaving targets cut no request

  Scenario: Every daemon is restarted in turn under load
    Given a fleet of 3 daemons with one group
    When callers write and read behind a balancer
    And every daemon is stopped gracefully and started again, one after another
    Then callers saw no error at all
    And the surviving log agrees with what callers were told

  Scenario: A leaving primary is handed over under load
    Given a fleet of 3 daemons with one group
    When callers write and read behind a balancer
    And the primary is marked as leaving
    Then another member leads
    And callers continue for 2 s
    And callers saw no error at all
    And the leaving member got no work in the last second
    And the surviving log agrees with what callers were told

  Scenario: A leaving replica gets no new reads
    Given a fleet of 3 daemons with one group
    When callers write and read behind a balancer
    And a replica is marked as leaving
    And callers continue for 4 s
    Then the leaving member got no work in the last second
    And callers saw no error at all

  Scenario: A leaving primary lets open transactions end
    Given a fleet of 3 daemons with one group
    When callers run transactions of two rows
    And the primary is marked as leaving
    Then another member leads
    And callers continue for 2 s
    And callers saw no error at all
