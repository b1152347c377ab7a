Feature: The parts of the platform path meet their specifications

  Scenario: A topic cache matches a replay of the store's changes and never reverts
    Then for 200 generated deliveries the cache matches a replay

  Scenario: A read requires a position of a replica that includes all that it must see
    Then for 300 generated histories every read requires a sufficient position

  Scenario: Lent shares stay within the tolerated rate, also when the token pool moves
    Then for 100 generated fleets no window exceeds the tolerated number of operations

  Scenario: Arbitrary bytes from callers and targets are answered or ignored
    Then for 500 generated lines the decoder returns a message
    And for 200 generated streams the line decoder returns the same lines at any split
    And for 200 generated statements a target's responses are decoded

  Scenario: Any bytes between hosts end the connection at worst
    Then for 200 generated streams all complete frames are answered, whatever bytes follow
    And a frame over the size limit closes the connection
    And a frame that is not a valid message closes the connection

  Scenario: An entry that can't be decoded does not affect other entries
    Then for 300 generated entries an invalid one does not affect the others
    And for 300 generated configurations decoding returns a configuration or none

  Scenario: A member that crashed after it was ordered leads under another name
    Then it has taken over if no other member was ordered, and no record of an order may be lost

  Scenario: A primary of an older term is not accepted as the new one
    Then only a primary of a later term than the replaced primary's is accepted

  Scenario: A promotion needs replies that cover all commits that waited for replicas
    Then with 2 replicas and commits that wait for 1, 2 must reply
    And with 4 replicas and commits that wait for 2, 3 must reply
    And with 1 replicas and commits that wait for 1, 1 must reply
    And with 2 replicas and commits that wait for 2, 1 must reply

  Scenario: A coordinator waits longer without confirmations from a majority of the hosts
    Then a fence waits for cached assignments to expire, and longer without a majority's confirmation

  Scenario: Writing logs never blocks the caller
    Then a writer whose reader stopped returns at once, drops failures last and counts dropped lines

  Scenario: The log tool finds a request's lines across hosts, and state changes over time
    Then trace and timeline order the lines of several files, and name files that can't be read

  Scenario: The platform's settings file is checked
    Then an invalid settings file is refused with the position and the expected value

  Scenario: The adapter's folder shadows no module, and the project lists its requirements
    Then a process started in the adapter's folder finds the standard library's platform module
    And requirements.txt lists the dependencies of pyproject.toml
    And no module outside the adapter imports it or contains the platform's names

  Scenario: Slow use of links does not raise the estimated wait of later statements
    Then a link pool accepts reads after slow uses of its links

  Scenario: Links are shared by teams, and surplus links closed
    Then a statement waits for a full target, which is not considered dead
    And after a burst a link pool of 16 connections at 2 slots keeps 8
    And after a burst a link pool of 52 connections at 3 slots keeps 40
    And after a burst a link pool of 8 connections at 2 slots keeps 4

  Scenario: The promotion lease changes holder only after the old holder can no longer act
    Then another host waits to take the lease, and the fencing token increases

  Scenario: A token pool that has just started does not delay teams
    Then a team that the token pool does not know yet is requested again at once
