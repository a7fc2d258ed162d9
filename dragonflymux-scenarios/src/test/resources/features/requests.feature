Feature: Rates, single runs, withdrawn credentials and requests that crash targets

  Background:
    Given a fleet of 2 domains with 3 hosts and 2 targets each, seed 30

  Scenario: a customer inside its rate is never refused, through whichever host
    When customer small has rate 20 and burst 10
    And small sends 18 requests a second for 10 seconds through all hosts
    And 2 seconds pass
    Then all of these requests succeeded

  Scenario: a customer at several times its rate gets its rate and no more
    When customer greedy has rate 50 and burst 20
    And greedy sends 300 requests a second for 8 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy ran within any 2 seconds
    And at least 380 of these requests succeeded

  Scenario: the rate holds while the host that keeps the bucket is lost
    When customer greedy has rate 50 and burst 20
    And greedy sends 300 requests a second for 3 seconds through all hosts
    And host assigner is killed
    And greedy sends 300 requests a second for 6 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy ran within any 2 seconds

  Scenario: the rate holds while the store is down and a domain is cut off
    When customer greedy has rate 50 and burst 20
    And the store goes down
    And domain a is cut off from its peers
    And greedy sends 300 requests a second for 6 seconds through all hosts
    And domain a is joined again
    And the store comes back
    And greedy sends 300 requests a second for 6 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy ran within any 2 seconds

  Scenario: a withdrawn credential stops working within seconds on every host
    When an operator withdraws the credentials of acme
    And 3 seconds pass
    And acme sends a GET for key k1 through host a1
    Then the request is refused as unauthenticated
    When acme sends a GET for key k1 through host b3
    Then the request is refused as unauthenticated

  Scenario: a withdrawn credential stops working on a host that hears of nothing
    When domain a is cut off from the store
    And domain a is cut off from its peers
    And an operator withdraws the credentials of acme
    And 11 seconds pass
    And acme sends a GET for key k1 through host a1
    Then the request is refused as credentials_unconfirmed

  Scenario: an order is answered once and its repeat gets the same answer
    When acme orders through host a1
    And 1 seconds pass
    Then the request succeeds
    When the same request is sent again through host b2
    And 1 seconds pass
    Then the request succeeds

  Scenario: an order's repeat never runs again after its dispatcher was lost
    When acme orders through host a1
    And 1 seconds pass
    And host a1 is killed
    And host a2 is killed
    And host b1 is killed
    And 8 seconds pass
    And the same request is sent again through host b2
    And 6 seconds pass

  Scenario: an order on a target that is lost is unknown, and never runs twice
    When target ta1 freezes
    And target ta2 freezes
    And target tb1 freezes
    And target tb2 freezes
    And acme orders through host a1
    And 7 seconds pass
    Then the outcome is unknown
    When target ta1 thaws
    And target ta2 thaws
    And target tb1 thaws
    And target tb2 thaws
    And 5 seconds pass
    And the same request is sent again through host b2
    And 6 seconds pass

  Scenario: an order without an idempotency key is refused
    When acme sends a GET for key k1 through host a1
    And 1 seconds pass
    Then the request succeeds

  Scenario: open connections go silent while new ones work
    When open connections to target ta1 go silent
    And callers ask for 6 seconds
    Then every request was served at all times

  Scenario: a request that crashes targets is held back after two crashes, through any host
    When requests with "deadly" in their path crash targets
    And acme sends the deadly request through host a1
    And callers ask for 10 seconds
    And acme sends the deadly request through host b1
    And callers ask for 10 seconds
    And acme sends the deadly request through host a2
    And callers ask for 10 seconds
    Then at most 2 targets crashed
    And the request is refused as quarantined

  Scenario: a straggler delays its own keys only
    When target ta1 turns 10 times slower
    And callers ask for 8 seconds
    Then every key is served again within 2 seconds
