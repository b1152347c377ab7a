Feature: No order of restores and faults breaks a promise

  Scenario: Hosts keep their promises in random runs with restores of the store
    Then 60 random runs of hosts from seed 1 break no promise, and all agree in the end

  Scenario: Daemons keep their promises in random runs with restores of the platform
    Then 40 random runs of daemons from seed 1 break no promise, and all agree in the end
