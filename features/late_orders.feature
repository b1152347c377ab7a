Feature: An owner's order that takes effect late makes no replaced primary acknowledge a write

  Scenario: A promote command arrives after its member has accepted a later term
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and the promote command to a replica is late
    And the primary is back, and the next election has promoted a member
    And the late orders arrive
    Then the late orders are refused
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: A promote command arrives at a member that missed the next election
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and the promote command to a replica is late
    And a write through the host waits for a primary
    And the ordered member and its host are cut off from the rest, which elects a primary
    And the late orders arrive
    Then the write was committed at the replaced primary, and not acknowledged in that term
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: A promote command arrives late, and the replaced primary has a longer log
    Given a group of members with a host that owns it and another one
    When the primary commits 5 writes that no replica receives
    And the primary goes dark, and the promote command to a replica is late
    And a write through the host waits for a primary
    And the ordered member and its host are cut off from the rest, which elects a primary
    And the late orders arrive
    Then the write was committed at the replaced primary, and not acknowledged in that term
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: The host that sent a promote command freezes and goes on after another host's election
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and its host freezes before it promotes a replica
    And the ordered member misses the next election, which another host wins
    And the frozen host goes on, with the ordered member's promotion
    Then writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: The response to a promote command is lost
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and the response to a promote command is lost
    Then writes are acknowledged in that promotion's term
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: A promoted member goes dark before it has responded, and the old primary is back
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and a promoted member goes dark before it has responded
    And the primary is back, and the next election has promoted a member
    And the promoted member is back
    Then writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: A follow command arrives after its member has accepted a later term
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and the follow command to it is late once it is back
    And the promoted member and its host are cut off from the rest, which elects a primary
    And the late orders arrive, and the cut-off host reaches the member that they were for
    Then the write was committed at the replaced primary, and not acknowledged in that term
    And the late orders are refused
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario Outline: A host ends with its <order> under way, and another one goes on
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and its host ends with the <order> order under way
    Then writes through the other host are acknowledged
    When the late orders arrive
    Then the late orders are refused
    And writes through the other host are acknowledged in the same term
    And no replaced primary acknowledged a write

    Examples:
      | order   |
      | claim   |
      | fence   |
      | promote |
      | publish |

  Scenario: A host ends when it has promoted a member, and another one goes on
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and its host ends with the follow order under way
    Then writes through the other host are acknowledged
    When the late orders arrive
    Then writes through the other host are acknowledged in the same term
    And no replaced primary acknowledged a write

  Scenario: Fence orders arrive after the promotion of a later term
    Given a group of members with a host that owns it and another one
    When the primary goes dark, and the fence orders of an election are late
    Then writes through the other host are acknowledged
    When the late orders arrive
    Then the late orders are refused
    And writes through the other host are acknowledged in the same term
    And no replaced primary acknowledged a write

  Scenario: A fence order to the only replica that has the latest write arrives late
    Given a group of members with a host that owns it and another one
    When a replica is cut off from the primary, and a write is acknowledged
    And the primary goes dark, and the fence order to the other replica is late
    Then writes through both hosts are acknowledged
    When the late orders arrive
    Then the late orders are refused
    And writes through both hosts are acknowledged, and no replaced primary acknowledged one

  Scenario: Fence orders of a higher term than the primary's arrive after its promotion
    Given a group of members with a host that owns it and another one
    When the platform has a claim of a higher term, and the fence orders of the next one are late
    And the platform goes down, and the other host has a primary elected
    And the late orders arrive
    Then writes through the other host are acknowledged
    And no replaced primary acknowledged a write

  Scenario: A primary is cut off from its replicas, and the preferred host reaches no member
    Given a group of members with a host that owns it and another one
    When the primary is cut off from its replicas, and the preferred host from all members
    Then writes through the other host are acknowledged
    And no replaced primary acknowledged a write

  Scenario: A replica is cut off from a leaving primary while requests are held for its replacement
    Given a group of members with a host that owns it and another one
    When the primary is leaving, and a replica is cut off from it
    Then a write through each host is acknowledged before requests have been held for too long

  Scenario: The preferred host ends while requests are held for the replacement of a leaving primary
    Given a group of members with a host that owns it and another one
    When the primary is leaving, and the preferred host ends
    Then a write through the other host is acknowledged before requests have been held for too long
