Feature: An answer of a primary is passed on only while no other may have replaced it

  Scenario: A write answered after the primary assignment has expired is not reported as done
    Given a host with a primary that answers a write after 0.2 s
    When the host's primary assignment expires in the meantime
    Then the outcome of the write is unknown

  Scenario: A read answered after the primary was replaced is repeated
    Given a host with a primary that answers a read after 0.2 s
    When the host learns of another primary in the meantime
    Then the read counts as unanswered

  Scenario: A write that ends while a planned replacement waits for it is answered
    Given a host with a primary that answers a write after 0.2 s
    When a planned replacement of the primary begins in the meantime
    Then the write is done, and the fence reports its position

  Scenario: A planned fence reaches a host just before the coordinator gives it up
    Given a host with a cache of the store and a primary that answers a write after 3 s
    When a planned replacement begins 0.1 s later, and its fence reaches the host after 2.6 s more
    Then the primary answered after the fence gave the host up, and the outcome is unknown

  Scenario: A write ends late in a planned replacement whose fence reaches the host at once
    Given a host with a cache of the store and a primary that answers a write after 2.3 s
    When a planned replacement begins 1.4 s later, and its fence reaches the host after 0.01 s more
    Then the primary answered while the fence waited, and the write is done

  Scenario: A primary's entry vanishes while its answer is awaited
    Given a host with a cache of the store and a primary that answers a write after 0.3 s
    When the entry of the primary vanishes in the meantime, and no member reports that it is primary
    Then the write is done

  Scenario: A primary's entry vanishes while its answer is awaited, and another reports to be primary
    Given a host with a cache of the store and a primary that answers a write after 0.3 s
    When the entry of the primary vanishes in the meantime, and another member reports that it is primary
    Then the outcome of the write is unknown

  Scenario: A primary's entry vanishes while its answer is awaited, and a failover begins
    Given a host with a cache of the store and a primary that answers a write after 0.3 s
    When the entry of the primary vanishes in the meantime, and a failover begins
    Then the outcome of the write is unknown

  Scenario: A primary's entry vanishes while its answer is awaited, and the store is restored
    Given a host with a cache of the store and a primary that answers a write after 0.3 s
    When the entry of the primary vanishes in the meantime, and the store comes back in a new era
    Then the outcome of the write is unknown
