Feature: Edits of the tables
  Operators race each other, and the store can be down or lose an answer. No edit is
  lost, and an operator is never told the wrong outcome.

  Scenario: Two operators race
    Given both operators have read the pools table
    When maria adds pool "north"
    And hugo adds pool "south"
    Then the edit of hugo is refused as a conflict that names maria and "north"
    And the pools are "base, north"

  Scenario: The second operator is faster between the check and the write
    Given both operators have read the pools table
    And maria adds pool "north" while hugo's edit is being checked
    When hugo adds pool "south"
    Then the edit of hugo is refused as a conflict that names maria and "north"
    And the pools are "base, north"

  Scenario: The answer of a write is lost after it took effect
    Given both operators have read the pools table
    And the answer of the next write is lost after it took effect
    When hugo adds pool "south"
    Then the edit of hugo is in force and in the history once
    And the pools are "base, south"

  Scenario: A write is lost before it took effect
    Given both operators have read the pools table
    And the next write is lost before it took effect
    When hugo adds pool "south"
    Then the edit of hugo is in force and in the history once
    And the pools are "base, south"

  Scenario: The store fails after it lost the answer
    Given both operators have read the pools table
    And the answer of the next write is lost and the store goes down
    When hugo adds pool "south"
    Then hugo is told that the edit may be in force
    And the pools are "base, south"

  Scenario: The store is down
    Given both operators have read the pools table
    And the store is down
    When hugo adds pool "south"
    Then hugo is told that nothing was changed
    And the pools are "base"
