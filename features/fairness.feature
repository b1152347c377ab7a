Feature: No team crowds out another

  Scenario: One team presses at many times its share
    Given a fleet of 3 daemons with one group
    And a statement takes 0.01 s and 5 teams use the group
    When one team presses with 24 callers while the others send 10 a second each for 5 s
    Then no request of the others was refused
    And the refusals of the pressing team are true
