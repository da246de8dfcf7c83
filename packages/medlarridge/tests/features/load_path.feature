Feature: Load bound and fairness hold on the whole path
  Guards against an engine that takes more than its share because all chats call it
  home, against answers held back while a pool is full, and against an account whose
  surge starves the others.

  Scenario: Sixteen chats have the same home
    Given three engines with a load bound of 1.5 that hold their answers
    When 16 chats of one home are sent at once
    Then every chat runs or is told not-run with Retry-After while the engines hold
    And no admission took an engine above the bound of the design page
    And refused attempts went on to the candidates that were named
    And each chat that ran has its whole answer

  Scenario: An account surges
    Given one engine that runs two requests at a time
    When an account sends 8 chats and then a quiet account sends one
    And the engine ends one request after the other
    Then the quiet account's chat started before any chat of the surge ended
