Feature: What a host concludes from the eras of the store

  Scenario: The record of an era is written only after every lost assignment
    Given a coordinator that knows assignments which the store has lost
    Then the store gets the record of the era after all of them
