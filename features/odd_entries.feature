Feature: An odd entry among good ones affects nothing but itself

  Scenario Outline: An odd entry among those of the members never hides or outlasts a good one
    Then for each odd entry, the good entries of a <response> are decoded, and the odd one names no member

    Examples:
      | response |
      | list     |
      | watch    |

  Scenario: An odd entry is what a conditional write conflicts with
    Then for each odd entry in a 409, the write conflicts with it at its revision, or the store counts as failing

  Scenario: A page of a list ends with an entry whose name can't be read
    Then the pages after one that ends with each odd entry are read, each page once

  Scenario: An entry can't be read
    Then it is logged once for each of its revisions, however often it is read

  Scenario: Hosts follow the members while odd entries come and go
    Given a host that reads a store and a host that pulls from it
    When each odd entry is written between good ones
    Then both hosts have the good ones in force, and the last member written
    And the store was called as often as without odd entries
