Feature: Whatever is read from a socket or a file gets an answer, an error, or a closed connection

  Scenario: Any bytes from callers
    Then any stream of bytes is split into the same messages, however it arrives, in bounded memory

  Scenario: Any bytes from targets
    Then a link that receives any bytes completes what waits, or is closed, and raises nothing

  Scenario: Any bytes from other hosts
    Then a connection between hosts that receives any bytes raises nothing, in bounded memory

  Scenario: Any responses of the store
    Then any response of the store is cached or counts as none

  Scenario: Any requests over HTTP
    Then any bytes over HTTP become requests or a refusal, and any request is parsed or refused

  Scenario: Any settings files
    Then any settings file is read or refused with its errors
