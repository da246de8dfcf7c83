Feature: Configuration
  What runs is exactly what was accepted from an operator's edit; it is in force
  everywhere within seconds and never goes back to an older one.

  Background:
    Given a fleet of 40 processes in force at generation 1

  Scenario: An accepted edit reaches everybody
    When an edit is accepted
    Then generation 2 is in force everywhere within 15 s

  Scenario: A node restarts while the store is down
    Given an edit is accepted and in force everywhere
    When the store goes down
    And process 3 restarts
    Then process 3 serves only after it is at generation 2
    And several peers were asked

  Scenario: A whole fleet restarts while the store is down
    When the store goes down
    And all processes restart
    Then nobody serves within 60 s
    When the store comes back
    Then everybody serves within 120 s

  Scenario: A process paused for minutes asks before it serves
    When process 3 is paused for 300 s while an edit is accepted
    Then process 3 serves only after it is at generation 2

  Scenario: All processes are paused at once while the store is down
    When the store goes down
    And all processes are paused for 300 s
    Then everybody serves within 120 s

  Scenario: A lagging watch returns an older generation
    Given an edit is accepted and in force everywhere
    When the store answers with generation 1 for 120 s
    Then generation 2 is in force everywhere within 1 s

  Scenario: A request mentions a newer generation
    Given only process 0 has an accepted edit and the store is down
    When process 5 sees generation 2 in a request of process 0
    Then process 5 is at generation 2 within 1 s

  Scenario: A mentioned generation that does not exist
    When process 5 sees generation 99 in a request of process 0
    Then process 5 stops asking for it within 120 s
    And generation 1 is in force everywhere within 1 s

  Scenario: A pool is renamed under live traffic
    When pool east is renamed to west
    Then generation 2 is in force everywhere within 15 s
    And every process sends route chat to pool west alone

  Scenario: Two operators race
    When two operators edit the same version of the routes
    Then one edit is stored and the other gets a conflict
    And the stored edit is accepted as generation 2

  Scenario: A rejected edit changes nothing
    When an operator points a route to a pool that does not exist
    Then the status names the missing pool
    And generation 1 is in force everywhere within 1 s
    When the operator corrects the route
    Then the stored edit is accepted as generation 2

  Scenario: Two acceptors run at once
    When two processes that both believe they hold the lease accept one edit
    Then the stored edit is accepted as generation 2

  Scenario: A paused acceptor wakes up with old tables
    When an acceptor pauses between reading the tables and writing
    And another acceptor accepts a later edit meanwhile
    Then the later edit stays in force

  Scenario Outline: The store's answer to a write is lost
    When the answer to write <call> of the acceptance is lost <when> it took effect
    Then the stored edit is accepted as generation 2
    And the status says that it was accepted

    Examples:
      | call | when   |
      | 1    | after  |
      | 1    | before |
      | 2    | after  |
      | 2    | before |
