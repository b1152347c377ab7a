Feature: A team's rate is shared by all hosts, and operations are refused only once it is used up

  Scenario: A late response of the token pool causes no refusal
    Then an operation is admitted if the token pool responds after 0.2 s

  Scenario: A token pool that is not configured yet causes no refusal
    Then an operation is admitted if the token pool is configured after 0.12 s

  Scenario: An unreachable token pool and an exhausted rate are refused with different kinds
    Then an operation without a response is refused as limits_unavailable after its goal of 0.25 s
    And an operation over the rate is refused as over_rate within a quarter of its goal

  Scenario: The burst of a team with few operations is not kept in token reserves that do not use it
    Then 40 hosts at 60 percent of a rate of 20 and a burst of 10 refuse nothing in 4 s
