Feature: Texts with line ends arrive as they were sent, or nothing runs

  Scenario: Texts with a line feed or a carriage return pass through a host
    # Guards against UNASKED: statements that were cut, or smuggled, at a line feed in a text.
    Given a site with 2 hosts
    When a caller writes texts with line feeds and carriage returns, in packets of any size
    Then members ran exactly these statements, and reads return the texts

  Scenario: Any texts in any packets, from callers to members and back
    # Guards against UNASKED and MIXED: a message that ends elsewhere than at CR LF.
    Then any statement reaches a member as its caller sent it, or nothing is sent
    And any rows of a member reach the caller as the member sent them

  Scenario: A team, group or member has a name that the wire can't carry
    # Guards against UNASKED: a name that ends the message, or moves the field after it.
    Then no link is opened for it, and the member got nothing

  Scenario: A session variable or error detail contains a line end
    # Guards against UNASKED: statements that a value smuggles into the messages of a link.
    Then the statement with the variable is refused as not executed, and nothing was sent
    And the error reaches the caller as one message

  Scenario: Messages of the largest size, and larger ones
    # Guards against a limit that counts the line end, or that a divided line end escapes.
    Then a message of the largest size is read, and a larger one is reported once, in any packets
    And a statement that would be too large with its prefix is refused and not sent

  Scenario: A request whose ID has line ends and quotes is traced
    # Guards against requests that trace does not find, and values that look like lines of their own.
    Then trace finds any request by its ID, and shows each of its lines as one line
