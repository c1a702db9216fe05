Feature: New versions take over by their deadline or are taken back

  Background:
    Given 4 upstreams of "herdview" over "bunbury, busselton, harvey"
    And 80 calls a second

  Scenario: A good version takes over in time
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 95 seconds pass
    Then the move is done
    And the move ended by its deadline
    And version "v2" does all work in the last 3 seconds
    And 100 percent of the calls since the mark were answered
    And every invariant holds

  Scenario Outline: A bad version is taken back
    When 4 upstreams of a <fault> version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 60 seconds pass
    Then version "v2" began no work in the last 20 seconds
    When 40 seconds pass
    Then the move is reversed
    And the move ended by its deadline
    And version "v2" got at most 6 percent since the mark
    And every invariant holds

    Examples:
      | fault              |
      | failing            |
      | failing on writes  |
      | slow               |
      | hanging            |

  Scenario: A version that is bad only under load is taken back
    Given each upstream has 20 slots and takes 40 ms
    When 1 upstreams of a failing under load version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 95 seconds pass
    Then the move is reversed
    And version "v2" began no work in the last 3 seconds
    And every invariant holds

  Scenario: A version turns bad late in its trial
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 35 seconds pass
    And version "v2" turns bad
    And 10 seconds pass
    Then version "v2" began no work in the last 3 seconds
    And the move is reversed
    And the reason of the move names "more errors"
    And every invariant holds

  Scenario: A bad version is taken back with the store down
    When 4 upstreams of a failing version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 5 seconds pass
    And the store is down
    And 30 seconds pass
    Then version "v2" began no work in the last 15 seconds
    When the store is up again
    And 15 seconds pass
    Then the move is reversed
    And every invariant holds

  Scenario: A bad version is taken back with the store down and the driver dead
    When 4 upstreams of a failing version "v2" start
    And the operator moves to "v2" within 90 seconds
    And 3 seconds pass
    And the store is down
    And the driver is killed
    And 40 seconds pass
    Then version "v2" began no work in the last 15 seconds
    When the store is up again
    And 30 seconds pass
    Then the move is reversed
    And every invariant holds

  Scenario: An outage of everything is no fault of the new version
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 120 seconds
    And 30 seconds pass
    And every upstream fails half of its calls for 10 seconds
    And 95 seconds pass
    Then the move is done
    And the move ended by its deadline
    And every invariant holds

  Scenario: Too little traffic to judge
    When the calls stop
    And 2 upstreams of a good version "v2" start
    And the operator moves to "v2" within 30 seconds
    And 40 seconds pass
    Then the move is reversed
    And the reason of the move names "calls seen"

  Scenario: No upstream of the new version
    When the operator moves to "v2" within 20 seconds
    And 25 seconds pass
    Then the move is reversed
    And the reason of the move names "no upstream"
    And every invariant holds

  Scenario: The driver dies in the middle
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 120 seconds
    And 30 seconds pass
    And the driver is killed
    And 100 seconds pass
    Then the move is done
    And the move ended by its deadline
    And every invariant holds

  Scenario: The driver is paused for longer than its lease
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 120 seconds
    And 20 seconds pass
    And the driver is paused for 20 seconds
    And 105 seconds pass
    Then the move is done
    And the move ended by its deadline
    And every invariant holds

  Scenario: The store is down past the deadline
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 40 seconds
    And 10 seconds pass
    And the store is down
    And 45 seconds pass
    Then version "v2" began no work in the last 10 seconds
    And 100 percent of the calls since the mark were answered
    When the store is up again
    And 15 seconds pass
    Then the move is reversed
    And every invariant holds

  Scenario: An operator takes a version back
    When 4 upstreams of a good version "v2" start
    And the operator moves to "v2" within 120 seconds
    And 30 seconds pass
    And the operator aborts the move
    And 10 seconds pass
    Then the move is reversed
    And version "v2" began no work in the last 5 seconds
    And every invariant holds
