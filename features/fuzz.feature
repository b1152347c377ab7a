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

  Scenario: An HTTP client sends a trailer or a chunk extension without end
    Then it is refused as too large within 256 KiB, and a body in chunks of one byte is not

  Scenario: Any settings files
    Then any settings file is read or refused with its errors
