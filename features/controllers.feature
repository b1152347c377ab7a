Feature: Decisions agree with simple reference implementations

  Scenario: The fair queue gives each team its weighted share of slot time
    Then for 60 generated workloads every team gets its weighted share, less a small slack

  Scenario: Rates hold when token requests are lost, late or duplicated
    Then for 150 generated histories no time window exceeds rate and burst

  Scenario: The acknowledged position is the highest that a majority of members received
    Then for 300 generated reports the majority position equals the one found by counting

  Scenario: A promoted member has every acknowledged position
    Then for 300 generated groups the promoted member has all that a majority received

  Scenario: A promotion needs a majority that responds and a primary that failed
    Then for 300 generated views a promotion needs a majority and a failed primary

  Scenario: A read goes only to a member that has the session's writes
    Then for 300 generated views the chosen replica has the session's writes or is waited for

  Scenario: Cached owners equal a ranking of all hosts
    Then for 60 generated fleets that change, cached owners equal a full ranking

  Scenario: A cache of the settings equals the platform's and its revision never decreases
    Then for 150 generated orders of delivery the cache equals a replay of the changes

  Scenario: Host updates converge in any order of delivery
    Then for 100 generated orders of delivery every host ends with the same member list

  Scenario: Session tokens carry the highest positions and can't be forged
    Then for 200 generated tokens merging and forgery detection are correct

  Scenario: Any request, settings file or option is accepted or refused with a reason
    Then for 300 generated requests the HTTP front parses them or refuses them with a reason
    And an internal error of the HTTP front is reported as such
    And for 200 generated settings files the check passes or names the file
    And for 300 generated options the check passes or says what is valid

  Scenario: The table of error kinds in the interface page equals the one in the code
    Then docs/INTERFACE.md lists every error kind with its status, whether it ran, and retry

  Scenario: No field of a log event breaks its line
    Then for 200 generated events the log line is one line and can be parsed
