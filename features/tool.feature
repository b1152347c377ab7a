Feature: The command-line tool and the daemon's settings

  Scenario: An operator configures and inspects a fleet
    Given a fleet of 2 daemons with one group
    Then the tool lists, changes and removes objects, as tables and as JSON
    And the tool shows status and explains a request and the group
    And each class of error has its exit code and a one-line message

  Scenario: The daemon validates all of its settings at start
    Then with invalid settings the daemon exits with code 2 and a line for each error
    And the tool and the daemon print help
