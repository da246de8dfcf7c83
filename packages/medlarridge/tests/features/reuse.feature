Feature: Prefix reuse and load bound while engines come and go

  Scenario: An engine leaves and its chats are found by import
    # Guards against prefilling all chats of a replaced engine.
    Given a pool of 6 engines that has served 40 chats
    When an engine leaves and hands over its prefixes
    Then every chat of the engine finds its prefix at its new home

  Scenario: An engine leaves before its prefixes are fetched
    # Guards against prefilling when the hand-over notices were lost.
    Given a pool of 6 engines that has served 40 chats
    When an engine leaves without handing over its prefixes
    Then every chat of the engine imports its prefix from the leaving engine

  Scenario: A flapping engine
    # Guards against chats pulled to and fro, with a prefill each time.
    Given a pool of 6 engines that has served 40 chats
    When an engine fails and restarts 4 times within the hold-down
    Then each of its chats is prefilled once and stays where it is
    And after the hold-down each of its chats moves back once by import

  Scenario: Engines that cannot drop a prefix
    # Guards against copies of a chat that displace the prefixes of others.
    Given a pool of 6 engines that cannot drop a prefix and has served 40 chats
    When a chat is moved once while its home is over the bound
    Then the chat returns 3 times to where it was moved and adds no copy

  Scenario: A wrong hint costs only a prefill
    # Guards against requests that fail or hang on a prefix that is gone.
    Given a pool of 6 engines that has served 40 chats
    And a chat whose home believes that another engine holds its prefix
    When the chat returns and the import finds nothing
    Then the chat is prefilled and the hint is gone

  Scenario: A surge on one chat's home never breaks the bound
    # Guards against an overloaded home when one account surges.
    Given a pool of 10 engines under load
    When an account doubles the load with chats of one home
    Then no admission exceeds the load bound
    And the surge is served by other engines

  Scenario: A lost data centre
    # Guards against overload and a standstill of the engines that remain.
    Given a pool of 12 engines under load
    When one of three data centres is lost
    Then no admission exceeds the load bound
    And every chat has a live home and the pool serves as before
