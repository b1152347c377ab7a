Feature: Nothing but an ordered member becomes primary while its order may take effect

  Scenario: The ordered member goes dark as its promotion takes effect, and the old primary is back
    Given a model of hosts and of a group whose promotions take 1 s
    When the primary is cut off for 1.6 s, and the replicas go dark for 8 s as one is promoted
    Then no host may use a replaced primary in the next 24 s, and all use one primary in the end

  Scenario: All hosts are killed after an order, and the ordered member goes dark as it is promoted
    Given a model of hosts and of a group whose promotions take 1 s
    When the primary is cut off for 1.6 s, all hosts restart 0.5 s after an order was accepted
    And the replicas go dark for 8 s as one is promoted
    Then no host may use a replaced primary in the next 24 s, and all use one primary in the end

  Scenario: An order that was not answered is done after another member was promoted
    Given a model of hosts and of a group whose promotions take 1 s
    When an order takes 7 s and is not answered, and its member is cut off from the hosts for 20 s
    Then no host may use a replaced primary in the next 30 s, and all use one primary in the end

  Scenario: Two members go dark in turn as their promotions take effect, and the old primary is back
    Given a model of hosts and of a group whose promotions take 1 s
    When the primary is cut off for 1.6 s, and each replica goes dark for 16 s as it is promoted
    Then no host may use a replaced primary in the next 40 s, and all use one primary in the end

  Scenario: A repeated order that was not answered is done after its member was replaced
    Given a model of hosts and of a group whose promotions take 1 s
    When an order takes 8 s and is not answered, a second one is done, and its member goes dark for 2 s
    Then no host may use a replaced primary in the next 24 s, and all use one primary in the end

  Scenario: All hosts are killed before the old primary, which reaches no other member, is demoted
    Given a model of hosts and of a group whose promotions take 1 s
    When the primary is split off from the members, and cut off until all hosts restart after its replacement
    Then the old primary is a replica 4 s later

  Scenario Outline: The process that ordered a promotion ends, and the new primary leaves at once
    # Guards against DRAIN: an order that counts as pending although its member leads by it.
    Given a model of hosts and of a group whose promotions take 1 s
    When the primary leaves, and <who> restart <seconds> s after an order for its successor
    And the successor leaves as soon as all hosts use it
    Then the successor is replaced within 7 s
    And no host may use a replaced primary in the next 24 s, and all use one primary in the end

    Examples:
      | who                 | seconds |
      | the host that sent  | 0.2     |
      | the host that sent  | 0.9     |
      | all hosts           | 0.2     |
      | all hosts           | 1.1     |

  Scenario: An order of a process that ended is repeated, and its member is not replaced meanwhile
    # Guards against ONE: a second order for a member that takes effect after it was replaced.
    Given a model of hosts and of a group whose promotions take 1 s
    When an order takes 7 s and is not answered, its sender ends, and its member leaves once it leads
    Then no host may use a replaced primary in the next 30 s, and all use one primary in the end

  Scenario: A member leads in its old term, by no order
    # Guards against ONE: an order counted as used up that a member did not need to lead.
    Given the record of a single order, written by a process that has ended
    Then the order has been used up if its member leads in a later term, else it may take effect
    And it may in any term if the record is not known to be of a single order
