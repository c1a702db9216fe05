Feature: Data centres leave and return

  Background:
    Given 6 upstreams of "herdview" over "bunbury, busselton, harvey"
    And 60 calls a second

  Scenario: A data centre is taken out and in
    When the clock is marked
    And the operator takes "bunbury" out
    And 15 seconds pass
    Then "bunbury" began no work in the last 10 seconds
    And 100 percent of the calls since the mark were answered
    When the operator takes "bunbury" in
    And 15 seconds pass
    Then "bunbury" began work in the last 5 seconds
    And 100 percent of the calls since the mark were answered
    And every invariant holds

  Scenario: A data centre is taken out while a relay there dies
    When node "herdview-0" is killed
    And the operator takes "bunbury" out
    And 15 seconds pass
    Then "bunbury" began no work in the last 7 seconds
    And every invariant holds

  Scenario: A data centre is taken out while messages are lost
    When 10 percent of messages are lost
    And the operator takes "harvey" out
    And 20 seconds pass
    Then "harvey" began no work in the last 10 seconds
    And every invariant holds

  Scenario: A data centre dies
    When every node in "busselton" is killed
    And 15 seconds pass
    And the clock is marked
    And 20 seconds pass
    Then 99 percent of the calls since the mark were answered
    And every invariant holds

  Scenario: The data centres left cannot take over everything
    Given each upstream has 2 slots and takes 100 ms
    When the operator takes "bunbury" out
    And the operator takes "harvey" out
    And 20 seconds pass
    Then every invariant holds
