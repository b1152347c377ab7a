Feature: Connections are closed in a fixed order when clients hold too much memory

  Scenario: The budget is exceeded
    Then clients that do not read are closed before those that hold more, and no more than needed

  Scenario: A client reads slowly
    Then one that takes some of what waits for it counts as reading

  Scenario: Connections come, change and go in any order
    Then the budget's sum is what the connections hold, and closing what it names is enough

  Scenario: Large statements run at the same time
    Then at most the granted bytes run at once, in order, and one over the limit runs alone

  Scenario: HTTP clients send requests over many connections while the handler is slow
    Given an HTTP server of 4 connections whose handler waits
    When 40 connections are opened that send a request each
    Then it holds at most 8 connections, and serves a client once the handler goes on

  Scenario: An HTTP server has no descriptor for a new connection
    Given an HTTP server that can't accept connections for lack of descriptors
    Then it tries at most 20 times in 0.5 s

  Scenario: A large statement waits for others that wait for a member
    Given a caller whose large statement runs for 60 s, and no other may run beside it
    When another caller sends a large statement and a small one
    Then the large one is refused as busy within 4.5 s, and the small one is served

  Scenario: Links receive large answers at the same time
    Then a few go on at once, the others are resumed in order, also when one that waits is lost

  # Guards against a share of the budget that nobody gives back, until no large statement runs.
  Scenario: A caller leaves just as its large statement may run
    Then the next large statement runs at once
