Feature: Each part that serves the platform keeps its word

  Scenario: A copy of the store agrees with a replay and never goes back
    Then over 200 generated deliveries the copy agrees with a replay

  Scenario: A replica is only asked for a position that holds all that a read must see
    Then over 300 generated histories no read misses what it has to contain

  Scenario: Lent shares never give more than the rate, also when the pool moves
    Then over 100 generated fleets no window holds more than is allowed

  Scenario: Any bytes on the wire get an answer or are passed over
    Then over 500 generated lines the decoder answers
    And over 200 generated streams lines are split the same at any cuts
    And over 200 generated statements a target's answers are decoded

  Scenario: Any bytes between hosts end the connection at worst
    Then for 200 generated streams all complete frames are answered, whatever bytes follow
    And a frame over the size limit closes the connection
    And a frame that is not a valid message closes the connection

  Scenario: An entry that can't be read harms nothing but itself
    Then over 300 generated entries the others stand
    And over 300 generated configurations decoding ends with one or none

  Scenario: A primary of an older term is not taken for a new one
    Then the member that leads is one of a later term than the replaced primary's

  Scenario: Commits that waited for replicas are only sought where enough of these reply
    Then with 2 replicas and commits that wait for 1, 2 have to reply
    And with 4 replicas and commits that wait for 2, 3 have to reply
    And with 1 replicas and commits that wait for 1, 1 have to reply
    And with 2 replicas and commits that wait for 2, 1 have to reply

  Scenario: A promoter waits longer when it does not hear most hosts
    Then a fence waits out the lease, and an outage where no majority was told

  Scenario: Logs never hold up work
    Then a writer whose reader stopped returns at once, keeps failures longest and counts drops

  Scenario: The log tool finds the lines of a request across hosts, and beliefs over time
    Then trace and timeline put lines of several files in order, and name what they can't read

  Scenario: The platform's settings file is checked
    Then a faulty settings file is refused with its place and what is right

  Scenario: The adapter's folder hides no module, and its needs are the project's
    Then a process started in the adapter's folder finds the standard library's platform module
    And requirements.txt lists what pyproject.toml does
    And no module outside the adapter imports it or spells the platform's names

  Scenario: A hung link says nothing of the next statement's wait
    Then a pool that saw links hang still lets reads in

  Scenario: Links are shared, handed on and held back
    Then a target that is full is waited for and not taken for dead
    And after a burst a pool of 16 connections at 2 slots keeps 8
    And after a burst a pool of 52 connections at 3 slots keeps 40
    And after a burst a pool of 8 connections at 2 slots keeps 4

  Scenario: The duty passes on only after its holder can't act any more
    Then another holder waits, and the fence grows

  Scenario: A pool of rates that has just started does not hold up teams
    Then a team that a pool does not know yet is asked for again at once
