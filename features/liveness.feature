Feature: A daemon that can't be reached is not taken for one that has ended

  Scenario: Daemons that were all cut off from each other hear each other again
    Given a model of daemons that know a key
    When all daemons are cut off from each other for 6 s
    Then within 4 s every daemon takes all others for alive and hears from a majority

  Scenario: A withdrawal is confirmed only if a majority knows it
    Given a model of daemons that know a key
    When one is cut off from all others, which the platform refuses, and withdraws the key
    Then the withdrawal is not confirmed, or no daemon accepts the key 3 s later

  Scenario: Daemons that run are removed from the register as dead
    Given a model of 5 daemons that know a key
    When two are cut off until they are about to be removed as dead, a third joins them, and another withdraws the key
    Then the withdrawal is not confirmed, or no daemon accepts the key 3 s later

  Scenario: A daemon restarts at another address after its clock was set back
    Given a model of daemons that know a key
    When one restarts at another address after its clock was set back
    Then within 4 s every daemon knows it at its present address

  Scenario: A daemon restarts at another address with the incarnation of its earlier process
    Given a model of daemons that know a key
    When one restarts at another address with the incarnation that it had before
    Then within 4 s every daemon knows it at its present address
