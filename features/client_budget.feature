Feature: Connections are closed in a fixed order when clients hold too much memory

  Scenario: The budget is exceeded
    Then clients that do not read are closed before those that hold more, and no more than needed

  Scenario: A client reads slowly
    Then one that takes some of what waits for it counts as reading

  Scenario: Connections come, change and go in any order
    Then the budget's sum is what the connections hold, and closing what it names is enough

  Scenario: Large statements run at the same time
    Then at most the granted bytes run at once, in order, and one over the limit runs alone

  Scenario: Links receive large answers at the same time
    Then a few go on at once, the others are resumed in order, also when one that waits is lost
