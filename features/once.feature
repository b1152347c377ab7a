Feature: A request runs at most once, and one that is reported as not run was not run

  Scenario: Entry daemons are killed after they forwarded requests
    Given a fleet of 4 daemons behind the fault proxy
    When callers write and read
    And daemon 1 is killed
    And daemon 4 is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario Outline: Responses of the primary are lost, truncated, held back or reset
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And responses of the primary get the fault <fault> for 2 s
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

    Examples:
      | fault        |
      | lose_answers |
      | truncate     |
      | hold         |
      | reset        |

  Scenario: Open connections stay blackholed while new ones work
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And all open connections to members are blackholed
    Then writes are acknowledged again
    When all open connections between daemons are blackholed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: A caller repeats a request id at other daemons
    Given a fleet of 3 daemons behind the fault proxy
    When one request id is sent 9 times to all daemons concurrently
    Then it ran once, and every response but one is marked as repeated

  Scenario: The group's owner is killed during transactions
    Given a fleet of 4 daemons behind the fault proxy
    When callers run transactions of two rows
    And the group's owner is killed
    Then writes are acknowledged again
    And no log entry mixes transactions or contains only part of one
    And the surviving log matches the reported outcomes

  Scenario: A caller gets the complete response to its own request
    Given a fleet of 3 daemons behind the fault proxy
    And every proxied connection has a delay of up to 0.02 s
    When 8 callers read their own number 40 times each
    Then every response was complete and the caller's own

  Scenario: A refused second attempt does not make the first one "not run"
    Given a group whose member loses its first response and refuses every later attempt
    Then an idempotent write without request table gets an unknown outcome
    And a read gets an unknown outcome
    And a write whose every attempt was refused is reported as not run

  Scenario: A commit that gets no slot is reported as what it is, a rollback
    Given an open transaction at a member all of whose slots are in use
    Then a commit is reported as lost with its transaction, and the transaction is closed
