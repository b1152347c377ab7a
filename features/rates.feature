Feature: No team gets more than its rate and burst, over all hosts together

  Scenario: Skewed load over eight daemons
    Given a fleet of 8 daemons with a team of 60 a second and burst 30
    When callers press for 5 s, most of them on daemon 1
    Then no window holds more than rate and burst allow

  Scenario: The limit owner is killed, and its successor is frozen
    Given a fleet of 5 daemons with a team of 60 a second and burst 30
    When callers press while the limit owner is killed and the next one is frozen
    Then no window holds more than rate and burst allow
    And requests are admitted at the end

  Scenario: The platform is down
    Given a fleet of 3 daemons with a team of 60 a second and burst 30
    When callers press for 8 s while the platform is down
    Then no window holds more than rate and burst allow
    And requests are admitted at the end

  Scenario: One daemon is cut off from all others and the platform
    Given a fleet of 4 daemons with a team of 60 a second and burst 30
    When callers press for 6 s while daemon 1 is cut off
    Then no window holds more than rate and burst allow
    And requests are admitted at the end

  Scenario: Statements inside a transaction count too
    Given a fleet of 1 daemons with a team of 5 a second and burst 5
    When 30 statements are run in one transaction as fast as they go
    Then no more ran than rate and burst allow, and the commit goes through

  Scenario: A host that held a lease before grants nothing while it takes it again
    Given a host that acquired and released a lease that another host then acquired and lost
    Then acquiring it again gives no right to grant before a majority knows the epoch
