Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Operators race one another
    Given a fleet of 3 daemons behind the fault proxy
    When operators race 12 times to change one option through all daemons
    Then each race had one winner and every loser got a conflict
    And within 3 s every daemon has the last winner's value

  Scenario: The answer to a change is lost after it took effect
    Given a fleet of 3 daemons behind the fault proxy
    When the platform loses its next 1 responses to writes
    And an operator changes an option
    Then within 3 s every daemon has the last winner's value

  Scenario: Revisions never go down
    Given a fleet of 4 daemons behind the fault proxy
    When revisions are watched on every daemon
    And operators race 3 times to change one option through all daemons
    And the platform goes down
    And daemon 2 is killed and started again
    And daemon 3 is frozen for 3 s
    And the platform recovers
    And operators race 3 times to change one option through all daemons
    Then within 3 s every daemon has the last winner's value
    And no revision ever went down

  Scenario: Faulty settings are refused whole, and say what is wrong
    Given a fleet of 1 daemons with one group
    Then faulty objects are refused with a reason
    And the settings of every level are explained
