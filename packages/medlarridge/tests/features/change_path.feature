Feature: Changes of servers and configuration reach the whole path
  Guards against new work on a server that leaves, against a router that acts on an
  older configuration, and against requests stranded by the change of a table.

  Background:
    Given a router with its own view of two engines

  Scenario: An engine leaves while the router still lists it
    Given a chat that runs on an engine
    When that engine leaves and the chat's home is asked 5 times more
    Then the engine that leaves got no new work
    And all of these chats had their whole answers
    And the chat that ran had its whole answer

  Scenario: A sidecar knows a newer configuration than the router
    When the sidecars have generation 2 and a chat is sent
    Then the router was told of generation 2 and fetched it
    And all of these chats had their whole answers

  Scenario: A sidecar knows a newer configuration that the router cannot fetch
    Given the router cannot fetch configurations
    When the sidecars have generation 2 and a chat is sent
    Then the caller is told not-run and no engine ran the chat

  Scenario: A pool is renamed under live traffic
    Given a chat that runs on an engine
    When its pool is renamed, that engine leaves and the chat's home is asked 5 times more
    Then the engine that leaves got no new work
    And all of these chats had their whole answers
    And the chat that ran had its whole answer
