Feature: A key has at most one owner, and is served again within 4 seconds after a failure
  Each scenario also checks the invariants of the protocol: a key never has two owners, no request with an idempotency
  key runs twice, no request that ran is refused as "not run", no caller receives the response to another request, and
  no host's replica goes back to an earlier revision.

  Background:
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 1
    When callers send requests for 3 seconds

  Scenario: a fleet with evenly distributed roles and hot units serves all requests without delay
    When 20 seconds pass
    And callers send requests for 25 seconds
    Then every request of the last 8 seconds was answered within 40 milliseconds

  Scenario: a target is killed
    When target ta1 is killed
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds
    And every request was served

  Scenario: a target freezes and thaws
    When target ta1 freezes
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds
    And every request of the last 8 seconds was answered within 2500 milliseconds
    When target ta1 thaws
    And callers send requests for 8 seconds
    Then target ta1 starts requests again

  Scenario: a request sent to a target that has just frozen is answered by the next owner
    When target ta2 freezes
    And acme sends a GET request for key k2 through host b1
    And 2500 milliseconds pass
    Then the request succeeds

  Scenario: a dispatcher is killed
    When host dispatcher is killed
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds

  Scenario: the assigner is killed
    When host assigner is killed
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds
    And another host is the assigner

  Scenario: the assigner and a target are killed at the same time
    When host assigner is killed
    And target tb1 is killed
    And callers send requests for 12 seconds
    Then every key is served again within 8 seconds

  Scenario: a dispatcher is paused and resumes
    When host dispatcher is paused
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds
    When the paused host resumes
    And callers send requests for 5 seconds

  Scenario: the assigner is paused and resumes
    When host assigner is paused
    And callers send requests for 8 seconds
    Then every key is served again within 4 seconds
    When the paused host resumes
    And callers send requests for 5 seconds

  Scenario: a failure domain fails
    When domain b fails
    And callers send requests for 10 seconds
    Then every key is served again within 4 seconds

  Scenario: a host shuts down gracefully
    When host dispatcher shuts down gracefully
    And callers send requests for 8 seconds
    Then every request was served
    And the host that was shut down has exited

  Scenario: the assigner shuts down gracefully
    When host assigner shuts down gracefully
    And callers send requests for 8 seconds
    Then every request was served
    And the host that was shut down has exited
    And another host is the assigner

  Scenario: an operator moves a hot key
    When an operator moves key k7 to target tc2
    And callers send requests for 5 seconds
    Then key k7 is owned by target tc2
    And every request was served

  Scenario: an operator moves a key back and forth while a dispatcher is paused
    When an operator moves key k7 to target tc2
    And 50 milliseconds pass
    And host dispatcher is paused
    And an operator moves key k7 to target ta1
    And callers send requests for 6 seconds
    And the paused host resumes
    And callers send requests for 4 seconds

  Scenario: a failure domain is taken out of service and returned to service
    When an operator takes domain a out of service
    And callers send requests for 10 seconds
    Then target ta1 starts no requests after 6 seconds
    And target ta2 starts no requests after 6 seconds
    And every request was served
    When an operator returns domain a to service
    And callers send requests for 12 seconds
    Then target ta1 starts requests again
    And every request was served

  Scenario: a target is drained
    When an operator drains target tb2
    And callers send requests for 8 seconds
    Then target tb2 starts no requests after 5 seconds
    And every request was served

  Scenario: a target asks not to be sent new requests
    When target tb2 asks not to be sent new requests
    And callers send requests for 8 seconds
    Then target tb2 starts no requests after 5 seconds
    And every request was served
