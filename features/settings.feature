Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Operators change one option concurrently
    Given a fleet of 3 daemons behind the fault proxy
    When operators change one option concurrently through all daemons 12 times
    Then each time one change was accepted and all others got a conflict
    And within 3 s every daemon has the last accepted value

  Scenario: The response to a change is lost after the change took effect
    Given a fleet of 3 daemons behind the fault proxy
    When the platform loses its next 1 responses to writes
    And an operator changes an option
    Then within 3 s every daemon has the last accepted value

  Scenario: Revisions never decrease
    Given a fleet of 4 daemons behind the fault proxy
    When revisions are recorded on every daemon
    And operators change one option concurrently through all daemons 3 times
    And the platform goes down
    And daemon 2 is killed and started again
    And daemon 3 is frozen for 3 s
    And the platform recovers
    And operators change one option concurrently through all daemons 3 times
    Then within 3 s every daemon has the last accepted value
    And no revision ever decreased

  Scenario: Invalid objects are refused with a reason, and settings are explained
    Given a fleet of 1 daemons with one group
    Then invalid objects are refused with a reason
    And explain shows the value of each option and the level that sets it
