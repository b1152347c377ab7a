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

  Scenario Outline: A record of the fleet's own can't be read
    Given a host that knows a <record> of another host
    When another writer makes the <record> unreadable
    Then the host acts on the <record> as before
    And the host writes the <record> again at its present revision

    Examples:
      | record     |
      | host       |
      | assignment |
      | era        |

  Scenario: The record of the promotion lease can't be read
    Given a host that knows a lease of another host
    When another writer makes the lease unreadable
    Then the host takes the lease only after a holder's time has passed
    And so does a host that starts then

  Scenario: An unreadable record of the fleet is removed from the store
    Given a host that knows a host of another host
    When another writer makes the host unreadable
    And the host is removed from the store
    Then the host knows the other host no more

  Scenario: A record of the fleet has a number out of range
    Then for each odd number in a record of the fleet, the record can't be read

  Scenario: A host gets a frame that can't be decoded
    Then each odd frame closes its connection, and nothing is raised

  Scenario: A message or a response can't be encoded
    Given two connected hosts
    When a request and a response can't be encoded
    Then both calls fail at once, and other calls on the connection are answered

  Scenario: A message has a number out of range
    Then no message is decoded that has an odd number in any field

  Scenario: A settings file has odd values
    Then each odd settings file is refused with its errors

  Scenario: An option of the settings tree has an odd value
    Then each odd value of an option is refused with what is expected

  Scenario Outline: A target's response has an odd line, or lacks one
    Then a statement whose response is <response> gets no response, and the link is closed

    Examples:
      | response                                   |
      | ROW a/ROWS b/DONE s/READY I 1.1            |
      | ROW a/DONE s/DONE s/ROW b/READY I 1.1/junk |
      | ROW a/TOO LONG/DONE s/READY I 1.1          |
      | ROW a/READY I 1.1                          |

  Scenario: A target sends rows without end
    Then a link keeps a bounded part of a response, and gets no response

  Scenario: A target's address has a port out of range
    Then a link to a target at port 70000 is not opened, and nothing was sent

  Scenario: A caller sends large messages ahead of the responses
    Then at most 4 MiB of a caller's messages wait at a host, and all are processed in order

  Scenario: A caller sets more variables than a host keeps
    Then the variables and prepared statements of a session have at most 2 MiB, and others are refused

  Scenario: A caller sends a long name
    Then a log line of values with 1 MiB has at most 4 KiB

  Scenario: An odd body of a request, or of an object that an operator writes
    Then each odd body of a caller or an operator is refused as a bad request

  Scenario: An odd object among those of the platform of our own interface
    Then for each odd object, the good ones of a list are decoded, and the odd one is logged once
    And for each odd object, a read of it counts as a platform that does not answer

  Scenario: A member of our own interface answers with odd values
    Then each odd response of a member counts as no response

  Scenario: A host of our own interface sends odd numbers
    Then each odd digest, delta, grant and request for tokens is refused

  Scenario: An operator replaces an object that can't be read
    Then each odd object conflicts with a write at its revision, and its value is given as null

  Scenario: A signed session token has odd contents
    Then each odd token is refused as a bad session

  Scenario: Any JSON is split into its parts, however it is written
    Then any array and any object are split into what they hold, and any other text is refused

  Scenario: A response of 1 MiB that can't be decoded as a whole
    Then its good entries are decoded within 3 s, however the odd one is nested

  Scenario: A store or a member sends a response without end
    Then a response of the store over 32 MiB counts as none, and its connection is closed
    And a response of a member of our own interface over 32 MiB counts as none
