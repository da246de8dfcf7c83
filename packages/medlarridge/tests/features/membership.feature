Feature: Membership
  Every process knows which others run, at a constant cost, and no failure of a
  part makes it forget the members that work.

  Background:
    Given a fleet of 40 processes in 4 data centres of 2 regions

  Scenario: A leaving server gets no new work after a few seconds
    When process 7 announces that it is draining
    Then within 5 s nobody uses process 7
    And process 7 is dead nowhere

  Scenario: The platform lists a VM as leaving
    When the VM list says that process 7 is leaving
    Then within 5 s nobody uses process 7

  Scenario: A process says goodbye
    When process 7 leaves
    Then within 5 s nobody lists process 7

  Scenario: A silent link concerns only its two ends
    When the link between process 3 and process 9 goes silent
    Then within 60 s process 3 does not use process 9
    And the other processes use process 9
    And process 9 is dead nowhere

  Scenario: An asymmetric link concerns only its two ends
    When process 9 stops hearing process 3
    Then within 60 s process 3 does not use process 9
    And the other processes use process 9
    And process 9 is dead nowhere

  Scenario: A rack is lost
    When processes 0, 4, 8 and 12 vanish
    Then within 30 s nobody lists processes 0, 4, 8 and 12
    And nobody else is dead anywhere
    And control took less than 3 KB a second per process

  Scenario: A data centre is lost and returns
    When data centre dc1 vanishes
    Then within 30 s nobody lists members of data centre dc1
    And nobody else is dead anywhere
    And control took less than 3 KB a second per process
    When data centre dc1 returns
    Then within 30 s everybody uses all members
    And the members of data centre dc1 are unstable for 30 s

  Scenario: An observer that is cut off keeps at least half of its pool
    When process 5 is cut off for 120 s
    Then process 5 still uses at least half of the pool
    When process 5 is connected again
    Then within 60 s everybody uses all members
    And nobody but process 5 is dead anywhere

  Scenario: A process is paused for minutes
    When process 5 is paused for 300 s
    Then within 60 s everybody uses all members
    And nobody but process 5 is dead anywhere

  Scenario: An address is reused by a process whose clock is behind
    When process 7 is replaced at its address by one with an older start time
    Then within 30 s everybody lists only the new instance at that address
    And the new instance is unstable for 30 s

  Scenario: A flapping server cannot be a home
    When process 7 is cut off for 60 s
    And process 7 is connected again
    Then within 60 s everybody uses all members
    And process 7 is unstable for 30 s

  Scenario: A new process joins through the VM list
    When a new process joins with a VM list that lacks it
    Then within 10 s it knows all members and is known to all
    And it contacted at most 12 addresses before it knew the fleet

  Scenario: The whole fleet starts at once
    When all processes restart with the VM list alone
    Then within 60 s everybody uses all members

  Scenario: A lagging VM list still names a dead process
    When process 7 vanishes but the VM list keeps naming it
    Then within 30 s nobody lists process 7

  Scenario: Regions split and rejoin
    When the regions lose each other for 240 s
    Then each region lists its own members
    When the regions are connected again
    Then within 120 s everybody uses all members

  Scenario: Lost datagrams make nobody unusable
    When 1 percent of the datagrams are lost for 600 s
    Then nobody is dead anywhere
    And everybody used all members all the time
