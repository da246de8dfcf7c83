Feature: A request that crashes servers is stopped on the whole path
  Guards against a caller whose request ends one server after the other, and against
  innocent chats that are lost or refused with it.

  Background:
    Given five engines behind two routers

  Scenario: The caller sends the request again through different routers
    When the caller sends a crashing request 6 times through the routers in turn
    Then exactly 3 servers were lost
    And the last answer has status 422 and says that servers died

  Scenario: A restarted sidecar still refuses the request
    When the caller sends a crashing request 6 times through the routers in turn
    And every sidecar is restarted and the caller sends it once more
    Then exactly 3 servers were lost
    And the last answer has status 422 and says that servers died

  Scenario: A chat shares the engine with the crashing request
    Given a chat that runs on the engine of the crashing request
    When the caller sends a crashing request 6 times through the routers in turn
    Then exactly 3 servers were lost
    And the chat had its whole answer

  Scenario: One call breaks while another goes on
    Given a chat that runs on the engine of the crashing request
    When the engine only breaks the call of the other caller
    Then no server counts as lost and nothing is suspected
    And the chat had its whole answer
