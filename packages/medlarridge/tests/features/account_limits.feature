Feature: Account limits hold across routers and survive their home
  Guards against an account that exceeds its limit by spreading over all routers,
  also when the router that watches it dies.

  Scenario: A surge through all routers while homes die
    Given 4 routers and a limit of 40 requests a second per account
    When account "surge" sends 400 requests a second for 20 s
    Then the last 10 s admitted at most 1.25 times the limit
    When its home dies
    And account "surge" sends 400 requests a second for 20 s
    Then the last 10 s admitted at most 1.25 times the limit
    When account "surge" sends 20 requests a second for 60 s
    Then the last 10 s admitted every request
