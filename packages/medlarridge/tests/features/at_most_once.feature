Feature: A call with an idempotency key runs at most once
  Invoices must be dispatched and plugs assigned once, whatever fails between the
  caller and the server. Each scenario provokes one such failure.

  Background:
    Given two sidecars that share the ledger of a route

  Scenario: An invoice dispatch is sent twice
    When the caller sends "invoice 17" through the first sidecar
    And the call runs and its result is recorded
    And the caller sends "invoice 17" through the second sidecar
    Then the caller is told "complete" with the first result
    And "invoice 17" ran 1 time

  Scenario: A plug assignment is repeated after the first sidecar died
    When the caller sends "plug A4" through the first sidecar
    And the call runs and the sidecar dies before its result is recorded
    And the caller sends "plug A4" through the second sidecar
    Then the caller is told "unknown"
    And "plug A4" ran 1 time

  Scenario: The sidecar dies before the intent is durable
    When the caller sends "plug A4" through the first sidecar
    And the sidecar dies before its first store call
    And the caller sends "plug A4" through the second sidecar
    And the call runs and its result is recorded
    Then "plug A4" ran 1 time

  Scenario: The store's answer is lost after the write
    Given the store loses the answer of the next write after it took effect
    When the caller sends "invoice 17" through the first sidecar
    And the call runs and its result is recorded
    And the caller sends "invoice 17" through the second sidecar
    Then the caller is told "complete" with the first result
    And "invoice 17" ran 1 time

  Scenario: Two sidecars both believe they own the call
    When the caller sends "invoice 17" through the first sidecar
    And the caller sends "invoice 17" through the second sidecar
    And both sidecars work on it at the same time
    Then "invoice 17" ran 1 time

  Scenario: The store is down
    Given the store is down
    When the caller sends "invoice 17" through the first sidecar
    And 2 seconds pass
    Then the caller is told "not-run"
    And "invoice 17" ran 0 times

  Scenario: The store returns after the caller was told not run
    Given the store is down
    When the caller sends "invoice 17" through the first sidecar
    And 2 seconds pass
    And the store returns
    And the caller sends "invoice 17" through the second sidecar
    And the call runs and its result is recorded
    Then "invoice 17" ran 1 time

  Scenario: A paused sidecar wakes after the call was repeated
    When the caller sends "plug A4" through the first sidecar
    And the first sidecar is paused for 90 minutes before it runs the call
    And the caller sends "plug A4" through the second sidecar
    And both sidecars work on it at the same time
    Then "plug A4" ran at most 1 time

  Scenario: The server was never reached
    When the caller sends "plug A4" through the first sidecar
    And the server cannot be reached
    And the caller sends "plug A4" through the second sidecar
    And the call runs and its result is recorded
    Then "plug A4" ran 1 time
