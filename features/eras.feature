Feature: What a host concludes from the eras of the store

  Scenario: The record of an era is written only after every lost assignment
    Given a coordinator that knows assignments which the store has lost
    Then the store gets the record of the era after all of them

  Scenario: Beliefs of earlier eras last as long as the deployment lets assignments be used
    Given deployments that allow assignments to be used for 1, 2.4 and 6 s
    Then an era's assignments count as complete, and the lease may be taken, only after that time
