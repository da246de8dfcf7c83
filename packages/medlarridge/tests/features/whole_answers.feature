Feature: Every caller receives the complete answer to its own request
  Guards against answers that are cut, doubled or mixed up when connections between
  router and sidecar break, go silent or deliver copies.

  Scenario Outline: A connection <fault> in the middle of a stream
    Given a route to one engine that streams 12 pieces
    And each connection to a sidecar <fault> after <pieces> pieces, <times> times
    When a caller asks for a stream
    Then the caller has the whole answer with its end mark
    And the engine ran 1 request

    Examples:
      | fault      | pieces | times |
      | breaks     | 0      | 1     |
      | breaks     | 1      | 3     |
      | breaks     | 3      | 2     |
      | goes silent| 0      | 1     |
      | goes silent| 2      | 3     |

  Scenario: The request itself is lost on its way to the sidecar
    Given a route to one engine that streams 3 pieces
    And each connection to a sidecar loses the request after 0 pieces, 2 times
    When a caller asks for a stream
    Then the caller has the whole answer with its end mark
    And the engine ran 1 request

  Scenario: The engine closes its stream without the end mark
    Given a route to one engine that streams 3 pieces
    And the engine leaves out its end mark
    When a caller asks for a stream
    Then the caller sees that the stream was cut

  Scenario: The sidecar is replaced in the middle of a stream that may not be repeated
    Given a route to one engine that streams 12 pieces
    And calls of the route may not be repeated
    And the sidecar is replaced by a new instance after 2 pieces
    When a caller asks for a stream
    Then the caller sees that the stream was cut
    And the engine ran 1 request

  Scenario: The sidecar is replaced and the next run says the same
    Given a route to one engine that streams 12 pieces
    And the sidecar is replaced by a new instance after 2 pieces
    When a caller asks for a stream
    Then the caller has the whole answer with its end mark
    And the engine ran 2 request

  Scenario: The sidecar is replaced and the next run says something else
    Given a route to one engine that streams 12 pieces
    And the sidecar is replaced by a new instance after 2 pieces
    And the engine never says the same twice
    When a caller asks for a stream
    Then the caller sees that the stream was cut
    And the engine ran 2 request

  Scenario: Many callers at once over connections that break
    Given a route to one engine that streams 12 pieces
    And each connection to a sidecar breaks after 1 pieces, 20 times
    When 10 callers ask for a stream at once
    Then each caller has the whole answer to its own request
