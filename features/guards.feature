Feature: Answers count only for the process that gave them, and waits start when their cause ended

  Scenario: Another host answers a fence at the address of one that does not
    Given a coordinator and a host at whose address another host answers
    When the coordinator fences a primary in virtual time
    Then the fence has waited for the host's assignment to expire

  Scenario: A host that registered just before the fence is fenced too
    Given a coordinator that reads of another host when the fence begins
    When the coordinator fences a primary in virtual time
    Then the fence has asked the other host

  Scenario: Another host answers at the address of a holder of the promotion lease
    Given a host that knows another at an address at which a third answers
    Then the process that ran there has not ended

  Scenario: A holder of the promotion lease ends long after it took the lease
    Given a promotion lease whose holder ends 0.9 s after another host saw it taken
    Then the other host holds the lease 1.5 s after it was taken, and not before

  Scenario: A late answer of a primary leaves nothing behind
    Given a host with a primary that answers a write after 0.2 s
    And the links and position samples of the host are recorded
    When the host's primary assignment expires in the meantime
    Then the link is closed, and no position was sampled

  Scenario: Another host takes over a planned replacement while a write ends
    Given a host with a primary that answers a write after 0.2 s
    When a planned replacement begins, and another failover replaces it in the meantime
    Then the outcome of the write is unknown

  Scenario: The cache gets old while a planned replacement waits for a write
    Given a host with a primary that answers a write after 0.2 s
    When a planned replacement begins, and the cache gets old in the meantime
    Then the outcome of the write is unknown
