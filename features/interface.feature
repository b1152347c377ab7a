Feature: Invalid requests and unreachable members get a clear error, and no write is lost

  Scenario: Malformed requests over real connections
    Given a fleet of 1 daemons with one group
    Then each malformed request is refused with its error kind
    And a flood of headers, an oversized body and slow senders affect no other caller
    And statements after commit and in unknown transactions are refused
    And a failing statement has no effect and says why

  Scenario: A transaction commits completely or not at all
    Given a fleet of 2 daemons with one group
    Then a transaction through another daemon commits both of its rows
    And a rolled-back transaction leaves no rows
    And a transaction that is idle too long is rolled back

  Scenario: The retry budget and the deadline hold when no member is reachable
    Given a fleet of 2 daemons behind the fault proxy
    When every member is isolated
    Then a write is refused within its deadline and is not run
    When the members are reachable again
    Then the next write is acknowledged before its deadline
