Feature: The command-line tool and the daemon's settings

  Scenario: An operator sets up and looks at a fleet
    Given a fleet of 2 daemons with one group
    Then the tool lists, changes and removes objects, as tables and as JSON
    And the tool shows status and explains a request and the group
    And each class of error has its exit code and one clear line

  Scenario: The daemon checks its settings whole at start
    Then faulty settings end the daemon with code 2 and a line for each fault
    And the tool and the daemon print help
