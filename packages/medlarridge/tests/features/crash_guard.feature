Feature: A request that crashes servers is stopped
  Guards against a request that takes down every server that runs it, sent again by
  its caller, also as copies at the same time, and against innocent requests that are
  refused because they shared a server with it.

  Scenario Outline: Copies of the culprit are sent to all servers all the time
    Given 20 servers in front of an available store
    When <copies> copies of the culprit start before any server died
    And <copies_last> of their servers die only after two later runs have died
    Then exactly <lost> servers are lost
    And the culprit is refused on every server for an hour

    Examples:
      | copies | copies_last | lost |
      | 1      | 0           | 3    |
      | 2      | 0           | 3    |
      | 2      | 1           | 4    |
      | 3      | 0           | 4    |
      | 5      | 0           | 6    |
      | 5      | 4           | 7    |

  Scenario: Random order of crashes, starts and learning
    Given 20 servers in front of an available store
    Then in 100 random orders no more than 2 servers are lost besides the copies that started without knowing

  Scenario: An innocent request meets a new culprit on every run
    Given 20 servers in front of an available store
    When an innocent request shares its server with a new culprit again and again
    Then it is never refused everywhere
    And it loses its strikes when it succeeds
