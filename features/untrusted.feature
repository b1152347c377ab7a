Feature: Clients that nobody controls neither end a host nor keep others from being served

  # Each scenario counts its clients against lowered limits of a real host process. The process must
  # live, stay within memory_mb and max_fds, and answer an ordinary caller while the clients stay.

  Scenario: Callers do not read the answers to their requests
    Given a site with 2 hosts of 100 MB and 600 file descriptors
    When 12 callers at each host request 40 answers of 900000 bytes and read none
    Then each host lives within its limits for 6 s and serves an ordinary caller

  Scenario: Callers do not read the largest answers
    Given a site with 2 hosts of 120 MB and 600 file descriptors
    When 40 callers at each host request 10 answers of 4 rows of 900000 bytes and read none
    Then each host lives within its limits for 6 s and serves an ordinary caller

  Scenario: Callers do not finish large messages
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 120 callers send 1000000 bytes of a message each and stop
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Callers fill their sessions with variables
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 100 callers set 2 variables of 900000 bytes each
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Callers send large statements at once
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 80 callers send 3 writes of 1000000 bytes each while members do not respond
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Connections of callers are opened and not used
    Given a site with 1 hosts of 100 MB and 240 file descriptors
    When 60 connections to the callers' port are opened and not used
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Callers stop in the middle of their first message
    Given a site with 1 hosts of 100 MB and 240 file descriptors
    When 60 callers send half a STARTUP
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Callers with a session stop in the middle of a message
    Given a site with 1 hosts of 100 MB and 240 file descriptors
    When 28 callers with a session send half a message, a byte at a time
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Connections of probes are opened and not used
    Given a site with 1 hosts of 100 MB and 300 file descriptors
    When 400 connections to the probes' port are opened and not used
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Connections between hosts are opened and not used
    Given a site with 1 hosts of 100 MB and 300 file descriptors
    When 400 connections to the hosts' port are opened and not used
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Clients of the probes' port do not read responses
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 20 clients send 4000 requests for metrics each and read no response
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Clients of the probes' port do not finish large bodies
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 20 clients send 8000000 bytes of a body of 8000001 bytes each
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Connections between hosts carry frames that are not finished
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 30 connections to the hosts' port send 8000000 bytes of a frame of 8000001 bytes
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: Responses between hosts are not read
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 4 connections to the hosts' port send 20000 pulls each and read no response
    Then each host lives within its limits for 6 s and serves an ordinary caller

  Scenario: Callers pipeline empty messages
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 60 callers send 500000 empty messages each and read no answer
    Then each host lives within its limits for 6 s and serves an ordinary caller

  Scenario: Callers prepare large statements, one after the other
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When 120 callers in turn prepare and run a statement of 900000 bytes
    Then each host lives within its limits for 3 s and serves an ordinary caller

  Scenario: A caller that stays inside the limits is not closed
    Given a site with 1 hosts of 100 MB and 600 file descriptors
    When a caller keeps 1800000 bytes of variables, pipelines 64 reads and rests for 4 s
    Then its message of 1000000 bytes, sent in parts for 0.5 s, is served

  Scenario: Random mixes of clients
    Then 6 random mixes of clients from seed 1 leave a host within its limits
