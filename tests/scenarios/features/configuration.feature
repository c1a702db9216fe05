Feature: An accepted configuration is in force everywhere within seconds

  Background:
    Given 9 upstreams of "herdview" over "bunbury, busselton, harvey"
    And 30 calls a second

  Scenario: Plain changes
    When the profile is applied 10 times
    And 8 seconds pass
    Then each accepted change was in force on every node within 8 s
    And every live node runs the newest version
    And every invariant holds

  Scenario: Operators race
    When 5 operators apply the profile at once
    And 8 seconds pass
    Then exactly one operator won
    And every live node runs the newest version
    And every invariant holds

  Scenario: The store loses answers after the write took effect
    When the store loses 50 percent of its answers to writes
    And the profile is applied 20 times
    And 8 seconds pass
    Then each change that was accepted is in the log exactly once
    And each accepted change was in force on every node within 8 s
    And every invariant holds

  Scenario: The store is slow
    When the store takes 300 ms for each call
    And the profile is applied 5 times
    And 8 seconds pass
    Then each accepted change was in force on every node within 8 s
    And every invariant holds

  Scenario: The store is down for a long time
    When the store is down
    And the clock is marked
    And 600 seconds pass
    Then 100 percent of the calls since the mark were answered
    When the store is up again
    And 10 seconds pass
    And the profile is applied 3 times
    And 8 seconds pass
    Then each accepted change was in force on every node within 8 s
    And every invariant holds

  Scenario: Every relay dies
    When every relay is killed
    And 25 seconds pass
    And the clock is marked
    And the profile is applied 3 times
    And 8 seconds pass
    Then every live node runs the newest version
    And 99 percent of the calls since the mark were answered
    And every invariant holds

  Scenario: Every lease lapses while the holders go on
    When every lease lapses
    And 10 seconds pass
    And the profile is applied 3 times
    And 8 seconds pass
    Then each accepted change was in force on every node within 8 s
    And every invariant holds

  Scenario: A data centre is cut off for an hour and merged
    When "bunbury" and "busselton" are cut off from each other
    And "bunbury" and "harvey" are cut off from each other
    And the profile is applied 3 times
    And 60 seconds pass
    Then every live node runs the newest version
    When the network is sound again
    And 20 seconds pass
    And the clock is marked
    And 10 seconds pass
    Then 99 percent of the calls since the mark were answered
    And every live node runs the newest version
    And every invariant holds

  Scenario: Nodes that have joined stay where they are
    Given 20 upstreams of "robotdesk" over "bunbury, busselton, harvey"
    Then no link of the tree was lost
    And every live node runs the newest version
    And every invariant holds
