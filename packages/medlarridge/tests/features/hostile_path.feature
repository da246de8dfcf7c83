Feature: Slow and hostile peers change nothing on the whole path
  Guards against a slow caller that fills the memory of router or sidecar, work that
  goes on for nobody, and bad input that runs something or gets no clear error.

  Background:
    Given an engine behind a sidecar and a router

  Scenario: A caller reads slowly
    When a caller stops reading a long stream and goes on later
    Then sidecar and router held no more than the bounded window
    And the caller has the whole stream

  Scenario: The caller of a chat goes away
    When the caller of a chat goes away while the engine works
    Then the router cancelled the attempt and the engine saw its call end

  Scenario Outline: Bad input from a caller
    When a caller sends <input>
    Then it is answered <status> with an error and not-run
    And the engine ran nothing

    Examples:
      | input                  | status |
      | an oversized body      | 413    |
      | oversized headers      | 431    |
      | malformed JSON         | 400    |
      | a very long deadline   | 400    |
      | a route that is absent | 404    |

  Scenario Outline: Bad input from another process
    When a process sends <input>
    Then it is answered <status> with an error
    And the engine ran nothing

    Examples:
      | input                  | status |
      | a wrong process key    | 401    |
      | a malformed frame      | 400    |
      | two frames             | 400    |
      | an oversized frame     | 413    |
      | a very long resume     | 400    |
      | a very long cancel     | 400    |
