Feature: A returning chat finds its cached prefix on the whole path
  Guards against a chat that is prefilled again because it comes through another
  router or because its engine left, and against a wrong hint that changes an answer.

  Background:
    Given three engines behind two routers, and a chat that was answered by one

  Scenario: The chat returns through another router
    When the chat returns through the other router
    Then its prefix was found in the cache and its answer is right

  Scenario: The engine of the chat leaves and hands its prefixes over
    When its engine leaves with a hand-over
    And the chat returns through the other router
    Then its prefix was found in the cache of another engine and its answer is right

  Scenario: The engine has dropped the prefix without saying so
    When its engine drops its cache unnoticed
    And the chat returns through the other router
    Then it was prefilled and its answer is right

  Scenario: The engine leaves and offers a prefix that it no longer has
    When its engine drops its cache unnoticed
    And its engine leaves with a hand-over
    And the chat returns through the other router
    Then it was prefilled and its answer is right
