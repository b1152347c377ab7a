Feature: A request runs at most once, and not run is true

  Scenario: Entries are killed after they sent requests
    Given a fleet of 4 daemons behind the fault proxy
    When callers write and read
    And daemon 1 is killed
    And daemon 4 is killed
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario Outline: Answers of the members go wrong
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And answers of the primary are <fault> for 2 s
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

    Examples:
      | fault        |
      | lose_answers |
      | truncate     |
      | hold         |
      | reset        |

  Scenario: Open connections go silent for good while new ones work
    Given a fleet of 3 daemons behind the fault proxy
    When callers write and read
    And all open connections to members go silent
    Then writes are acknowledged again
    When all open connections between daemons go silent
    Then writes are acknowledged again
    And the surviving log matches the reported outcomes

  Scenario: A caller repeats a request id at other hosts
    Given a fleet of 3 daemons behind the fault proxy
    When one request id is sent 9 times at all daemons together
    Then it ran once and every answer says so

  Scenario: The owner dies in the middle of transactions
    Given a fleet of 4 daemons behind the fault proxy
    When callers run transactions of two rows
    And the owner is killed
    Then writes are acknowledged again
    And no entry of the log mixes transactions or holds half of one
    And the surviving log matches the reported outcomes

  Scenario: A caller gets the whole answer to its own request
    Given a fleet of 3 daemons behind the fault proxy
    And every link delays by up to 0.02 s
    When 8 callers ask for their own number 40 times each
    Then every answer was whole and the caller's own

  Scenario: A second try that is refused does not make the first one "not run"
    Given a group whose member loses its first answer and refuses every later try
    Then an idempotent write without request table is told its outcome is unknown
    And a read is told its outcome is unknown
    And a write whose every try was refused is told that it was not run
