Feature: Work on which a process lives goes on after an unexpected error

  Scenario Outline: A task of a host process raises an unexpected error once
    Given a host process whose "<task>" raises RecursionError once
    When the host process has run for 5 s
    Then "<task>" runs again, and the error is in the log and on a metric
    And the host process stops with exit code 0

    Examples:
      | task                      |
      | cache.watch_store         |
      | cache.pull_from_peers     |
      | cache.join_through_seeds  |
      | hosts.retry_suspected     |
      | tokens.run                |
      | coordinator.watch         |
      | _keep_registered          |
      | _run_maintenance          |
      | caller_server.expire_transactions |

  Scenario: A host process goes on following the list of hosts after an unexpected error
    Given a host process whose store raises RecursionError once, when it has a new list of hosts
    When the host process has run for 5 s
    Then the host process knows the hosts that the store lists later

  Scenario: A task of a host process returns although it should run until the process stops
    Given a host process whose "tokens.run" returns once
    When the host process has run for 5 s
    Then "tokens.run" runs again, and the error is in the log and on a metric
    And the host process stops with exit code 0

  Scenario: What a task of a host process waits for is cancelled
    Given a host process whose "tokens.run" raises CancelledError once
    When the host process has run for 5 s
    Then "tokens.run" runs again, and the error is in the log and on a metric
    And the host process stops with exit code 0

  Scenario: A task that has worked fails again and again, until only a new process may help
    Given a host process whose "tokens.run" raises ValueError always, after it has worked for 20 s
    When the host process has run for 45 s
    Then the host process still runs
    When the host process has run for 70 s
    Then the host process has drained its callers and ended with exit code 70

  Scenario: A task fails from the start, so that a new process would fail too
    Given a host process whose "tokens.run" raises ValueError always
    When the host process has run for 1200 s
    Then the host process still runs
    Given a limit of 40 failures in a row
    When the host process has run for 120 s
    Then the host process has drained its callers and ended with exit code 70

  Scenario: A task fails now and then, and works in between
    Given a host process whose "tokens.run" raises ValueError after each 12 s
    When the host process has run for 900 s
    Then the host process still runs

  Scenario: A host process ends because of a task, and the platform must not take it for a planned stop
    Then the program of the host process exits with the exit code of the host process

  Scenario: A stop hangs
    Given a host process whose callers' server does not end
    When the host process has run for 5 s
    Then the host process stops with exit code 0

  Scenario: A task that nobody waits for, or a callback, raises an unexpected error
    Given a host process in which a task that nobody waits for raises KeyError
    When the host process has run for 5 s
    Then the errors of the task and of a callback are in the log and on a metric

  Scenario: An idle transaction of one session can't be ended
    Given a server of callers with two sessions, the first of which fails to expire
    Then the transactions of the second one expire, and the connection of the first is closed

  Scenario Outline: Periodic work of a daemon raises an unexpected error at each call
    Given a daemon whose "<work>" raises an unexpected error at each call
    When the daemon has run for 2 s
    Then the daemon has called "<work>" again, and each error is in the log and on a metric as "<name>"

    Examples:
      | work                            | name                    |
      | gossip.tick                     | gossip                  |
      | leases.tick                     | leases                  |
      | gossip.owners                   | reaper                  |
      | platform_watcher.refresh        | refresh_settings        |

  Scenario: A function that a daemon submits to its threads raises an unexpected error
    Given a daemon that submits a function that raises an unexpected error
    When the daemon has run for 1 s
    Then the error of the function is in the log and on a metric

  Scenario Outline: A thread of a daemon meets an unexpected error once
    Given a daemon whose "<work>" raises an unexpected error once
    When the daemon has run for 3 s
    Then the daemon has called "<work>" again, and each error is in the log and on a metric as "<name>"

    Examples:
      | work                                       | name            |
      | timers._call                               | timers          |
      | platform_watcher.is_platform_watcher       | watch_platform  |
      | caller_server._close_overdue               | serve_callers   |
      | operator_server._close_overdue             | serve_operators |
      | peer_server._server.serverTransport.listen | serve_peers     |

  Scenario: A thread of a daemon fails again and again, until only a new process may help
    Given a daemon whose "platform_watcher.is_platform_watcher" raises an unexpected error at each call
    And a limit of 4 failures in a row
    When the daemon has run for 5 s
    Then the daemon has ended as planned, with exit code 70

  Scenario: An HTTP server can't handle what one client sends
    Given a daemon whose server of operators raises an unexpected error for one client
    When the daemon has run for 1 s
    Then that client's connection is closed, and other clients are served

  Scenario: A member's heartbeat meets an unexpected error
    Given a group whose member "m1" is heard from after an unexpected error
    When the group's members are monitored for 1 s
    Then "m1" was missed, is heard from again on a new connection, and the error is in the log as "heartbeats"

  Scenario: The maintenance of a group meets an unexpected error
    Given a group service whose maintenance raises an unexpected error
    When the maintenance is due twice
    Then both errors are in the log as "tick_group"

  Scenario: The call to one member raises an unexpected error during an election
    Given an election in which the call to member "m1" raises an unexpected error
    Then the election promotes "m0" with the reports of "m0" and "m2", and the error is in the log

  Scenario: The call to one member raises an unexpected error while a term is confirmed
    Given a group whose member "m1" is heard from after an unexpected error
    Then the term is confirmed by the others, and the error is in the log as "confirm_term"

  Scenario: Standard output can't be written for a while
    Given a log writer whose output fails with ENOSPC for a while
    When two lines are logged while it fails, and one afterwards
    Then all lines are written once, in order, and the failure was reported

  Scenario: The log writer's thread meets an unexpected error
    Given a log writer whose output fails with MemoryError once
    When two lines are logged while it fails, and one afterwards
    Then all lines are written once, in order, and the failure was reported

  Scenario: A part of a host can't handle one of several entries of the store, for a while
    Given a cache of the store whose listener fails for the entry "h01" until 10 s have passed
    When the store lists "h01", "h02" and "h03" at once
    Then the listener has "h02" and "h03" at once, and "h01" after 11 s
    And the host does not know all assignments before, but does afterwards

  Scenario: A configuration can't be applied at first
    Given an admission whose token client fails once to take over the teams
    When a configuration without the key "k" is applied twice
    Then the key is unknown, and the token client has the teams of the configuration

  Scenario: A failover raises an unexpected error
    Given a host process whose failover of a group raises KeyError once
    When the host process has run for 10 s
    Then the failover is started again, and the error is in the log and on a metric

  Scenario: A hello to another host raises an unexpected error
    Given a host process whose hellos to other hosts raise KeyError
    When the host process has run for 10 s
    Then each failed hello is in the log and on a metric, and hellos go on

  Scenario: A failure can't be recorded, so that the task or thread would be gone
    Given a supervisor whose metric raises an unexpected error
    When a task and a thread fail
    Then the process is ended for each
