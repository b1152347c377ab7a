Feature: A target gets as many statements at a time as it answers well

  Scenario: Random service times and mixed statements do not cost a healthy member any of its slots
    Then for 3 seeds a healthy member of 5 slots keeps its limit of 6
    And for 3 seeds a healthy member of 1 slots keeps its limit of 2
    And for 3 seeds a healthy member of 5 slots keeps its limit of 12

  Scenario: A member that is slow for a moment keeps its limit
    Then 2 windows of answers that take 20 times longer do not lower the limit, the next ones do

  Scenario: Neither the time on the network nor an idle time hides that a member is slow
    Then slow answers of a member in another zone, or after an idle time, lower the limit

  Scenario: A member that becomes slow gets fewer statements, but keeps a share and is tried again
    Then a member that becomes 6 times slower gets a limit of 3 within 6 s
    And if it stays 6 times slower, it has its full limit again 40 s later

  Scenario: A member that was slow is used fully soon after it has recovered
    Then a member that becomes 6 times slower gets a limit of 3 within 6 s
    And it has its full limit after 1 s without trouble

  Scenario: A member that fails requests, though its health check passes, gets few until it recovers
    Then a member that fails 30 percent has a limit under 2, but 3 if it is needed
    And it has its full limit after 0.9 s without trouble

  Scenario: A member whose answers are lost now and then keeps its slots
    Then a healthy member that loses 2.5 percent of its answers keeps its limit of 6

  Scenario: The load of many hosts on one member counts too
    Then a member that other hosts overload sheds, and has a limit under 3
    And it has its full limit after 2 s without trouble

  Scenario: A cold member is not flooded while it is several times slower
    When a cold member that is 6 times slower begins
    Then it has its full limit after 0.9 s without trouble

  Scenario: A member without a known pace is not flooded when it begins
    Then it begins at 1 if it is cold, new, newly promoted or back after failures
    And a new member has limits of 1, 2, 4 and 6 in turn
    And a new owner in the middle of a rise begins at 1 if the member is cold, else at its slots

  Scenario: Answers that were under way when the limit fell do not lower it again
    Then one round of shed answers halves the limit once, and abandoned ones leave it

  Scenario: A limit that moves often does not fill the log
    Then changes of the limit are reported at most once a second, with the reason

  Scenario: A wrong setting is refused instead of choosing a limit silently
    Then the setting pace is on, off, or refused

  # Guards against a new primary that gets the whole load at once, as its owner had not owned the
  # earlier one; against slow starts that begin again; and against a floor that outlasts its reason.
  Scenario: Another member becomes the primary
    Then a member that is promoted at another owner than the earlier primary's starts slowly, once
    And one that leads no more may be held below half of its slots again
