Feature: No order of restores and faults breaks a promise

  Scenario: Hosts keep their promises in random runs with restores of the store
    Then 60 random runs of hosts from seed 1 break no promise, and all agree in the end

  Scenario: Daemons keep their promises in random runs with restores of the platform
    Then 40 random runs of daemons from seed 1 break no promise, and all agree in the end

  Scenario: No member is used after another was promoted in random runs with late and lost orders
    Then 25 random runs of orders from seed 1 break no promise, and all agree in the end

  Scenario: No late order arrives with a lower token than its successor's in random runs
    Then 25 random runs of tokens from seed 1 break no promise, and all agree in the end

  Scenario: A key withdrawn through a daemon that was away while an era was settled stays withdrawn
    Given a model of daemons that know a key
    When one withdraws the key, is frozen, and the platform comes back from a copy that has the key
    Then no daemon and the platform have the key once the daemon is back

  Scenario: A withdrawn key stays withdrawn although a daemon that missed it writes the key again
    Given a model of daemons that know a key
    When another withdraws the key while one is cut off, and the platform comes back without the key
    Then no daemon that knows of the withdrawal accepts the key, and all lose it in the end

  Scenario: A change without a response that is done after a restore does not replace a later one
    Given a model of daemons that know a key
    When a change of a setting gets no response, a later one does, and the first is done in a new era
    Then every daemon has the later value all the time, and the platform in the end

  Scenario: A change is kept although a lease was renewed in a new era before the era's start mark
    Given 8 models of daemons
    When the platform comes back without a change that was just confirmed, and leases are renewed
    Then every daemon has the change all the time, and the platform in the end

  Scenario: A change known only to a daemon that the platform refuses after a restore stays in force
    Given a model of daemons that know a key
    When the platform loses a change and refuses the only daemon that knows it for 6 s
    Then every daemon has the change and the platform too before it serves that daemon

  Scenario: A change is kept whose witnesses meet an era right before others that don't hear them settle it
    Given 8 models of daemons
    When the platform loses a change, and serves those that know it again shortly before two others settle the era
    Then every daemon has the change all the time, and the platform in the end

  Scenario: A withdrawn key is not written again by a daemon that was frozen while an era was settled
    Given a model of daemons that know a key
    When one that missed the key's withdrawal meets a new era, and is frozen until all that know it have ended
    Then no daemon accepts the key, nor has the platform it, once the daemon is back
