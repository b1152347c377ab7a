Feature: A process counts as ended only once another process of its host has answered

  Scenario: A live host whose connections are refused does not use a primary after its replacement
    Given a model of hosts
    When the connections of host 3 are refused and host 0 replaces the primary
    Then no host uses a replaced primary in the next 8 s

  Scenario: A live holder of the promotion lease whose connections are refused stays the only holder
    Given a model of hosts
    When host 0 takes the promotion lease, its connections are refused, and host 1 takes the lease
    Then no two hosts held the lease at once

  Scenario: A fence waits for a live host that refuses connections until its assignment has expired
    Given a coordinator, a host that answers, and one at whose address no socket listens
    When the coordinator fences a primary whose assignment expires after 0.3 s
    Then the fence took at least 0.6 s

  Scenario: A restarted host does not vouch for assignments that its earlier process was told to drop
    Given a host of a fleet of 5 that has just started, and hears an assignment 3 s old from 2 others
    Then it may not use the assignment, because only 2 of 5 hosts vouch for it
    And it may use the assignment once a third host vouches for it

  Scenario: A host that does not answer is deleted only once it can't use any primary assignment
    Given a coordinator whose register has a host that has been suspected for 6 s
    When it looks after its register for 12 s
    Then the host's registration is withdrawn, but a failover still fences the host
    When it looks after its register for 2 s
    Then the registration is deleted

  Scenario: A registration that vanishes does not end the wait for its host
    Given a coordinator whose register has a host that has been suspected for 6 s
    When the registration vanishes and 12 s pass
    Then a failover still fences the host
    When it looks after its register for 2 s
    Then a failover does not fence the host any more
