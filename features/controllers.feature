Feature: Each decision agrees with a naive version

  Scenario: The fair queue gives each team its weighted share of slot time
    Then over 60 generated loads no team falls behind its share by more than its longest job

  Scenario: Rates hold when asks are lost, late and doubled
    Then over 150 generated histories no window holds more than rate and burst

  Scenario: The acknowledged position is the one that a count of members gives
    Then over 300 generated reports the majority position agrees with counting

  Scenario: A promoted member holds every acknowledged position
    Then over 300 generated groups the promoted member has what any majority acknowledged

  Scenario: A promotion needs a majority that answers and a primary that failed
    Then over 300 generated views no promotion is planned without cause

  Scenario: A read goes only where the session's writes are
    Then over 300 generated views the chosen replica is level or is waited for

  Scenario: Remembered owners are the ones that ranking all hosts gives
    Then over 60 generated fleets that change, remembered owners agree with a full ranking

  Scenario: A copy of the settings equals the platform's and never goes back
    Then over 150 generated orders of delivery the copy agrees with a replay

  Scenario: News of hosts converge in any order
    Then over 100 generated deliveries every host ends with the same beliefs

  Scenario: Session tokens hold the highest positions and nothing forged
    Then over 200 generated tokens reading, merging and forging behave

  Scenario: Requests, settings and options of any bytes get an answer
    Then over 300 generated requests the front answers or refuses
    And a fault of its own is answered as one
    And over 200 generated settings files the check passes or names the place
    And over 300 generated options the check passes or says what is right

  Scenario: The table of refusals in the interface page is the one in the code
    Then docs/INTERFACE.md names each kind with its status, whether it ran, and retry

  Scenario: No part of an event's line breaks the line
    Then over 200 generated events the line is one line and can be read back
