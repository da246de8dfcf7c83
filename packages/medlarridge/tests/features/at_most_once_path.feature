Feature: A call runs at most once on the whole path
  Guards against a second run of a call that may not be repeated, whichever routers
  and sidecars its copies pass and wherever a process dies.

  Background:
    Given a service behind two sidecars and two routers that each know one of them

  Scenario Outline: An invoice dispatch is sent again after the first sidecar died
    Given the first sidecar dies <place>
    When an invoice dispatch is sent through each router in turn
    Then the answers are <first> and <second>
    And the server ran <runs> invoice dispatch

    Examples:
      | place                             | first    | second   | runs |
      | before the intent                 | unknown  | complete | 1    |
      | between the intent and the call   | unknown  | unknown  | 0    |
      | while the server works            | unknown  | unknown  | 1    |
      | before the result is stored       | complete | unknown  | 1    |
      | after the result is stored        | complete | complete | 1    |

  Scenario: Both copies arrive at the same moment
    When an invoice dispatch is sent through both routers while the server works
    Then the answers are complete and unknown
    And the server ran 1 invoice dispatch

  Scenario: The store is down
    Given the store is down
    When an invoice dispatch is sent through each router in turn
    Then the answers are not-run and not-run
    And each answer says when to come back
    And the server ran 0 invoice dispatch

  Scenario: The store takes the intent and its answer is lost
    Given the answer to the write of the intent is lost
    When an invoice dispatch is sent through each router in turn
    Then the answers are complete and complete
    And the second answer repeats the first
    And the server ran 1 invoice dispatch

  Scenario: The same key comes with another body
    When another invoice dispatch with the same key follows the first
    Then the answers are complete and not-run
    And the second status is 400
    And the server ran 1 invoice dispatch

  Scenario: The caller goes away while the call runs
    When the caller goes away while the server works and sends it again after the end
    Then the second answer is complete and repeated
    And the server ran 1 invoice dispatch
