Feature: A team's rate is shared by all hosts, and refused only when it is used up

  Scenario: A pool that answers late says nothing of the rate
    Then an operation is admitted by a pool that answers after 0.2 s

  Scenario: A pool that knows no configuration yet says nothing of the rate
    Then an operation is admitted by a pool that is configured after 0.12 s

  Scenario: A pool that can't be reached is told apart from a rate that is used up
    Then an operation without any answer is refused as such after its goal of 0.25 s
    And an operation beyond the rate is refused within a quarter of its goal

  Scenario: A rare team's burst does not rest at hosts that have no use for it
    Then 40 hosts at 60 percent of a rate of 20 and a burst of 10 refuse nothing in 4 s
