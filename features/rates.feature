Feature: No team gets more than its rate and burst across all hosts

  Scenario: Skewed load over eight daemons
    Given a fleet of 8 daemons with a team of 60 a second and burst 30
    When callers exceed the rate for 5 s, most of them on daemon 1
    Then no window admits more than rate and burst allow

  Scenario: The holder of the rate lease is killed, and its successor is frozen
    Given a fleet of 5 daemons with a team of 60 a second and burst 30
    When callers exceed the rate while the rate lease's holder is killed and its successor frozen
    Then no window admits more than rate and burst allow
    And requests are admitted at the end

  Scenario: The platform is down
    Given a fleet of 3 daemons with a team of 60 a second and burst 30
    When callers exceed the rate for 8 s while the platform is down
    Then no window admits more than rate and burst allow
    And requests are admitted at the end

  Scenario: One daemon is isolated from all others and the platform
    Given a fleet of 4 daemons with a team of 60 a second and burst 30
    When callers exceed the rate for 6 s while daemon 1 is isolated
    Then no window admits more than rate and burst allow
    And requests are admitted at the end

  Scenario: Statements inside a transaction count against the rate
    Given a fleet of 1 daemons with a team of 5 a second and burst 5
    When 30 statements are run in one transaction without pause
    Then no more statements ran than rate and burst allow, and the commit succeeds

  Scenario: A host that acquires a lease again grants nothing before a majority knows the new epoch
    Given a host that acquired and released a lease that another host then acquired and lost
    Then acquiring it again gives no right to grant before a majority knows the epoch

  Scenario: A lease that an older copy of the store has for a host is not held by that host
    Given a host that acquired and released a lease that another host then acquired and lost
    When the store comes back from a copy of when the host held the lease
    Then for 2 s the host has no right to grant

  Scenario: An acquired lease whose response was lost gives no right before its epoch is published
    Given a host that acquired and released a lease that another host then acquired and lost
    When the response is lost to the write that acquires it again, which is done
    Then the host has no right to grant an epoch that it did not publish

  Scenario: A host freezes before it publishes an acquired lease's epoch, and another host takes over
    Given a host that acquires a lease
    When it freezes between acquiring a lease and publishing its epoch, until another holds the lease
    Then the host has no right to grant in an outage, and the other holder's epoch stays published

  Scenario: The response to a renewal of a lease is lost
    Given a host that holds a lease
    When the response is lost to a renewal, which is done
    Then the host may grant in the same epoch a second later

  Scenario: A host that releases a lease during an outage stops before the store has the release
    Given a host that granted tokens during an outage and leaves
    Then it has no right to grant once the store has the release

  Scenario: A host whose release of a lease got no response grants only after a renewal
    Given a host that granted tokens during an outage and leaves
    When its release gets no response, and it is the owner again
    Then it has no right to grant before the store has a renewal

  Scenario: A host that holds a lease is suspended with its machine for longer than the lease lasts
    Given a host that holds a lease
    When its machine is suspended for 10 s
    Then the host has no right to grant at once
