Feature: Explanations of where a statement would go agree with where it goes, and send nothing

  # Guards against an explanation that is decided by other code than the statements.
  Scenario Outline: A statement and its retries go where the explanation says
    Given a host of zone b, and a group with its primary in zone a and replicas in b and c
    When a <statement> on a route of <freshness> data is explained, and then sent while replicas lag
    Then the explanation sent nothing and ranks the members <order>, as they were tried

    Examples:
      | statement  | freshness | order |
      | READ       | bounded   | b c a |
      | READ       | session   | b c a |
      | BEGIN READ | bounded   | b c a |
      | READ       | latest    | a     |
      | WRITE      | bounded   | a     |
      | BEGIN      | session   | a     |

  # Guards against a table of members that leaves an operator to guess.
  Scenario Outline: Each member that is not chosen has its reason
    Given a host of zone b, and a group with its primary in zone a and replicas in b and c
    When <event>
    Then a READ of bounded data goes to <member>, and <other> is listed with "<reason>"

    Examples:
      | event                                  | member | other | reason                                           |
      | the replica in b is leaving            | c      | b     | is leaving                                       |
      | the replica in b lately lagged         | c      | b     | lately lacked the position that a read needed    |
      | no position of the primary is known    | a      | b     | the primary is preferred: no position sample     |
      | nothing happens                        | b      | a     | used if the members ranked before it fail        |

  # Guards against a member that is shown as chosen although the statement would be refused.
  Scenario Outline: A refusal is reported with its reason and retry time
    Given a host of zone b, and a group with its primary in zone a and replicas in b and c
    When <event>
    Then a WRITE of team t is refused as <kind> with retry time "<retry_ms>"

    Examples:
      | event                                  | kind           | retry_ms |
      | the team is far over its rate          | over_rate      | 500      |
      | a failover begins                      | no_primary     | None     |
      | the keys are no longer fresh           | settings_stale | None     |
      | all keys of the team are withdrawn     | key_unknown    | None     |
      | the owner may not use the primary      | no_primary     | None     |

  # Guards against reasons, loads and refusals of the dispatcher that the report drops.
  Scenario: What the dispatcher reports of loads, ejections and early refusals is passed on
    Given a host of zone b, and a group with its primary in zone a and replicas in b and c
    When the dispatcher ejects the replica in b, reports the load of c and refuses the statement
    Then the report on a READ of bounded data has all three

  # Guards against answers about a route or team that was mistyped.
  Scenario: Unknown routes, teams and statements get an error, and never a key or its digest
    Given a host of zone b, and a group with its primary in zone a and replicas in b and c
    Then unknown routes and teams and unsupported statements get their own errors
    And no answer contains the key of the team or its digest

  # Guards against a prediction that differs from the spending of tokens.
  Scenario: A rate refusal is foretold exactly while tokens are refused
    Given a host that alone grants the rate of a team of 1 a second
    When the team spends tokens for 4 s
    Then every spending that was foretold to be refused at once was refused at once

  # Guards against an HTTP thread that waits for ever for a busy or closed event loop.
  Scenario: An event loop that is busy or closed gets no answer, within a bound
    Then a question to an event loop that is busy is refused as deadline within 1 s
    And a question to an event loop that is closed is refused as stopping within 1 s

  # Guards against a command that does not fit what the host processes answer.
  Scenario: The command explains routes of real host processes
    Given a site with 2 hosts
    Then the command names the member that runs a statement sent right after it, as text and as JSON
    And unknown routes, teams and statements, a wrong port and a host that is down have exit codes
    And neither the output nor the logs contain a key

  # Guards against reasons of the own interface that differ from what its choice rests on.
  Scenario: A generated group's members have reasons that fit the choice
    Then for 200 generated views the explained members are the chosen one and those unfit for it

  # Guards against a daemon that answers for a group that another one serves.
  Scenario: The command explains routes of the own interface through any daemon
    Given a fleet of 2 daemons with one group
    Then the command names the member that serves a statement sent right after it through each daemon
    And a team that may not use the route is refused, and unknown routes and teams have exit codes
