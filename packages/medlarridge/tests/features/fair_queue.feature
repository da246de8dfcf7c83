Feature: Quiet accounts keep their latency while another account surges
  Guards against one client account that fills a server's queue for all others.

  Scenario: An account sends far more than the server can run
    Given a server with room for 40 requests
    When account "surge" sends 300 requests
    And account "quiet" sends 2 requests
    Then the requests of account "quiet" start at once
    And no more than 40 requests run
    And after 20 s every request of account "surge" has started or was shed
    And every shed request was told when to come back
