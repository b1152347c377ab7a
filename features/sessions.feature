Feature: A session opens transactions without waiting for what can be obtained meanwhile

  Scenario: BEGIN is answered while the rate token and the transaction are obtained
    Given a session whose rate tokens and transactions take 0.4 s each
    When it begins a transaction and reads
    Then BEGIN is answered within 0.2 s and the read within 0.7 s

  Scenario: A transaction without a rate token runs nothing at a member
    Given a session whose rate tokens are denied after 0.05 s
    When it begins a transaction and reads
    Then the read is refused as over_rate, and the member got only BEGIN and ROLLBACK

  Scenario: A team at its rate opens no transaction before it has a rate token
    Given a session whose rate tokens are denied after 0.05 s
    And its team was denied a rate token before
    When it begins a transaction and reads
    Then BEGIN is refused as over_rate, and the member got nothing

  Scenario: A key moves to another team while an operation waits for a rate token
    Given a key that moves from team a to team b while a rate token is obtained
    When an operation with the key is admitted
    Then it runs under team b and spent a rate token of team b

  Scenario: A key's team is removed while an operation waits for a rate token
    Given a key whose team is removed while a rate token is obtained
    When an operation with the key is admitted
    Then it is refused as key_unknown

  Scenario: A key moves to another team during a transaction
    Given a session whose rate tokens and transactions take 0 s each
    When it begins a transaction, its key moves to another team, and it reads
    Then the read is refused as transaction_lost, and the member got only BEGIN and ROLLBACK
