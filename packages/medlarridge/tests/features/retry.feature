Feature: Retries are safe and bounded
  Guards against calls that run twice and against retries that multiply the load.

  Scenario: A connection breaks after a non-repeatable call was sent
    Given a call that must not be repeated
    When the connection to "a1" breaks after sending
    Then the caller is told "unknown" at once

  Scenario: Every server of a pool fails
    Given 1000 requests in 10 s whose attempts all break before sending
    Then at most 1.2 attempts are made per request
    And every caller is told "not-run"
