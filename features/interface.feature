Feature: Bad input gets a clear answer, and nothing is lost

  Scenario: Malformed requests over real connections
    Given a fleet of 1 daemons with one group
    Then each malformed request gets its kind
    And a flood of headers, an oversized body and a slow sender harm nobody else
    And statements after commit and in unknown transactions are refused
    And a failing statement has no effect and says why

  Scenario: A transaction commits whole or not at all
    Given a fleet of 2 daemons with one group
    Then a transaction through another daemon commits both of its rows
    And one that is rolled back leaves nothing
    And one that idles too long is rolled back

  Scenario: The retry budget and the deadline hold when no member answers
    Given a fleet of 2 daemons behind the fault proxy
    When every member is cut off
    Then a write is refused within its deadline and was not run
    When the members are reached again
    Then the next write is acknowledged in time
