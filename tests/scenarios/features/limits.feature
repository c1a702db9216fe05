Feature: An upstream gets no more work than it can bear

  Scenario: A cold upstream is warmed up under full load
    Given 3 upstreams of "herdview" over "bunbury, busselton, harvey"
    And each upstream has 10 slots and takes 20 ms
    And 600 calls a second that only read
    When node "herdview-1" is killed
    And 10 seconds pass
    And node "herdview-1" starts again
    And upstream "herdview-1" turns cold and takes 4 s to warm up
    And 15 seconds pass
    Then upstream "herdview-1" was overloaded at most 3 times
    And every invariant holds

  Scenario: An upstream turns cold without warning
    Given 3 upstreams of "herdview" over "bunbury, busselton, harvey"
    And each upstream has 10 slots and takes 20 ms
    And 600 calls a second that only read
    When upstream "herdview-2" turns cold and takes 4 s to warm up
    And the clock is marked
    And 15 seconds pass
    Then upstream "herdview-2" was overloaded at most 30 times
    And every invariant holds

  Scenario: More calls than the upstreams can run
    Given 2 upstreams of "herdview" over "bunbury, busselton"
    And each upstream has 2 slots and takes 50 ms
    And 300 calls a second
    When 20 seconds pass
    Then upstream "herdview-0" was never overloaded
    And every invariant holds
