Feature: The loss of a host that holds a duty is noticed, whatever it was last asked

  Scenario Outline: The failover coordinator is lost while nobody calls it
    # Guards against DRAIN: a lost coordinator that nobody notices, and whose duty nobody takes.
    Given a fleet of <count> idle hosts
    When the first <lost> hosts in the coordinator's ranking <end>
    Then the next one is the coordinator within <seconds> s, and each host lost is suspected there

    Examples:
      | count | lost | end                 | seconds |
      | 7     | 1    | end                 | 1.2     |
      | 7     | 1    | freeze              | 1.2     |
      | 7     | 1    | are cut off         | 1.2     |
      | 7     | 3    | freeze              | 2.4     |
      | 195   | 1    | freeze              | 1.2     |
      | 195   | 20   | freeze              | 4.2     |

  Scenario Outline: Any host is lost while nobody calls it
    # Guards against lost hosts that stay registered and hold up each fence.
    Given a fleet of <count> idle hosts
    When the host that is last in the coordinator's ranking freezes
    Then the coordinator suspects it within 1.9 s
    And when the coordinator freezes as well, the next one suspects both within 2.4 s

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario: A host is frozen and goes on
    # Guards against a suspicion that outlives its reason.
    Given a fleet of 7 idle hosts
    When the first 1 hosts in the coordinator's ranking freeze for 2 s
    Then the first one is the coordinator at all hosts 1.2 s later

  Scenario Outline: What the watch costs
    # Guards against costs of one host that grow with the fleet.
    Given a fleet of <count> idle hosts
    When 10 s pass
    Then each host sent and received at most 2.2 hellos a second, of at most 400 bytes

    Examples:
      | count |
      | 7     |
      | 195   |

  Scenario: A coordinator that the store refuses hands a leaving primary over
    # Guards against DRAIN: a leaving primary that still answers, and is therefore not replaced.
    Given a coordinator that the store refuses, and a group whose primary is leaving
    When it finds the primary leaving, and another host takes over
    Then the other host replaces the primary as planned, although the primary answers
    And it does not if it knows the primary as staying, or no other member that stays

  Scenario: A leaving primary can't be replaced
    # Guards against DRAIN: statements at a primary that may exit at any moment.
    Given a view of a group whose members go on for 7 s after they report that they are leaving
    When the primary reports that it is leaving, and is not replaced
    Then statements and transactions begin there in the next 5 s, and none from 6.5 s on
    And open transactions go on, and their answers are passed on
    And a host that never saw it staying begins none after half of that time
    And one that reports that it is staying, or starts again, gets statements again

  Scenario: A coordinator that nobody calls is killed, and later a primary leaves
    # Guards against DRAIN: a leaving primary that is not replaced after its coordinator was lost.
    Given a site with 3 hosts
    And its hosts have been registered for long enough to count towards majorities
    When the coordinator is killed for good, and 4 s later the primary is registered as draining
    Then another member is primary within 7 s
