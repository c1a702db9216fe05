Feature: Callers get complete and truthful answers

  Background:
    Given 6 upstreams of "herdview" over "bunbury, busselton, harvey"
    And 60 calls a second

  Scenario: Messages are lost
    When the clock is marked
    And 5 percent of messages are lost
    And 30 seconds pass
    Then every invariant holds

  Scenario: Messages arrive twice, late and crossed
    When the clock is marked
    And 30 percent of messages arrive twice, up to 400 ms late
    And 30 seconds pass
    Then every invariant holds

  Scenario: A node dies and starts again
    When node "herdview-1" is killed
    And 20 seconds pass
    And node "herdview-1" starts again
    And 15 seconds pass
    Then every invariant holds
    And every live node runs the newest version

  Scenario: A node is paused for longer than any call
    When node "herdview-2" is paused for 12 seconds
    And 30 seconds pass
    Then every invariant holds
    And every live node runs the newest version

  Scenario: An upstream loses answers after it ran the request
    When upstream "herdview-0" loses 30 percent of its answers
    And 20 seconds pass
    Then every invariant holds

  Scenario: A node dies while messages are lost and repeated
    When 3 percent of messages are lost
    And 20 percent of messages arrive twice, up to 200 ms late
    And node "herdview-3" is killed
    And 10 seconds pass
    And node "herdview-3" starts again
    And 15 seconds pass
    Then every invariant holds

  Scenario: A planned stop cuts no request
    When the clock is marked
    And node "herdview-4" is asked to stop
    And 15 seconds pass
    Then every invariant holds
    And the planned stop cut nothing
    And 100 percent of the calls since the mark were answered
    And node "herdview-4" began no work in the last 13 seconds

  Scenario: An upstream leaves
    When the clock is marked
    And upstream "herdview-5" leaves
    And 15 seconds pass
    Then node "herdview-5" began no work in the last 10 seconds
    And 100 percent of the calls since the mark were answered
    And every invariant holds
