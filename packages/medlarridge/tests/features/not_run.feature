Feature: When a caller is told "not run", the request did not run
  Guards against a request that is reported as not run and runs all the same, and
  against a second run of work that may not be repeated.

  Scenario: No server can be reached
    Given a service route whose calls may not be repeated
    And its server refuses connections
    When a caller sends an invoice dispatch
    Then the caller is told not-run with status 503 and when to come back
    And the server ran 0 calls

  Scenario: The server closes the connection after it received the call
    Given a service route whose calls may not be repeated
    And its server closes the connection without an answer
    When a caller sends an invoice dispatch
    Then the caller is told unknown with status 502
    And the server ran 1 calls

  Scenario: The sidecar is replaced after it received the call
    Given a service route whose calls may not be repeated
    And its sidecar is replaced while the server runs the call
    When a caller sends an invoice dispatch
    Then the caller is told unknown with status 502
    And the server ran 1 calls

  Scenario: The same failure where calls may be repeated
    Given a service route whose calls may be repeated
    And its first server closes the connection without an answer
    When a caller sends an invoice dispatch
    Then the caller is told complete with status 200

  Scenario: A copy of a refused attempt arrives when the cause has gone
    Given a sidecar that drains and refuses an attempt
    When the sidecar serves again and a copy of the attempt arrives
    Then the copy is refused as well
    And the server ran 0 calls

  Scenario: A copy of an attempt arrives after it has run
    Given a sidecar that has run an attempt
    When a copy of the attempt arrives
    Then the copy gets the same answer
    And the server ran 1 calls

  Scenario: A copy of an attempt arrives when its answer is no longer kept
    Given a sidecar that has run an attempt and dropped its answer
    When a copy of the attempt arrives
    Then the copy is told that the attempt has ended
    And the server ran 1 calls

  Scenario: An attempt meets a fault of the sidecar before its server is called
    Given a service route whose calls may not be repeated
    And a fault of its sidecar that meets the first attempt
    When a caller sends an invoice dispatch
    Then the caller is told complete with status 200
    And the server ran 1 calls

  Scenario: A copy of a running attempt names another instance
    Given a sidecar that has run an attempt
    When a copy for another instance arrives
    Then the copy is refused with wrong-instance
    And the server ran 1 calls

  Scenario: An attempt for an earlier instance at the same address
    Given a sidecar that was restarted
    When an attempt for the earlier instance arrives
    Then it is refused with wrong-instance
    And the server ran 0 calls

  Scenario: An attempt routed by an older configuration
    Given a sidecar with a newer configuration than the router
    When an attempt of the older generation arrives
    Then it is refused with stale-configuration
    And the server ran 0 calls
