Feature: A graceful shutdown cuts no request in flight
  Guards against answers lost when a router or sidecar is told to stop, and against
  new work on a backend server that is leaving.

  Scenario: A sidecar leaves while it streams
    Given two engines behind a router
    When the sidecar that streams an answer leaves
    Then the stream is whole
    And new requests run on the other engine
    And the sidecar ends only after the stream

  Scenario: A router leaves while it streams
    Given two engines behind a router
    When the router that streams an answer leaves
    Then the stream is whole
    And new requests are told not-run with when to come back
