Feature: Rate limits, idempotency keys, revoked credentials and requests that crash targets

  Background:
    Given a fleet of 2 domains with 3 hosts and 2 targets each, seed 30

  Scenario: a customer within its rate limit is never refused, whichever hosts receive its requests
    When customer small has rate 20 and burst 10
    And small sends 18 requests per second for 10 seconds through all hosts
    And 2 seconds pass
    Then all of these requests succeeded

  Scenario: a customer that sends several times its rate limit gets the rate limit and no more
    When customer greedy has rate 50 and burst 20
    And greedy sends 300 requests per second for 8 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy were admitted within any 2 seconds
    And at least 380 of these requests succeeded

  Scenario: the rate limit holds while the host that holds the token bucket is killed
    When customer greedy has rate 50 and burst 20
    And greedy sends 300 requests per second for 3 seconds through all hosts
    And host assigner is killed
    And greedy sends 300 requests per second for 6 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy were admitted within any 2 seconds

  Scenario: the rate limit holds while the store is down and a domain is isolated
    When customer greedy has rate 50 and burst 20
    And the store goes down
    And domain a is isolated from its peers
    And greedy sends 300 requests per second for 6 seconds through all hosts
    And domain a is reconnected
    And the store recovers
    And greedy sends 300 requests per second for 6 seconds through all hosts
    And 5 seconds pass
    Then at most 120 requests of greedy were admitted within any 2 seconds

  Scenario: a revoked credential is rejected by every host within seconds
    When an operator revokes the credentials of acme
    And 3 seconds pass
    And acme sends a GET request for key k1 through host a1
    Then the request is refused as unauthenticated
    When acme sends a GET request for key k1 through host b3
    Then the request is refused as unauthenticated

  Scenario: a revoked credential is rejected by a host that receives no updates
    When domain a is isolated from the store
    And domain a is isolated from its peers
    And an operator revokes the credentials of acme
    And 11 seconds pass
    And acme sends a GET request for key k1 through host a1
    Then the request is refused as credentials_unconfirmed

  Scenario: an order runs once, and its repetition receives the same response
    When acme sends an order through host a1
    And 1 seconds pass
    Then the request succeeds
    When the same request is sent again through host b2
    And 1 seconds pass
    Then the request succeeds

  Scenario: a repeated order does not run again after its dispatcher was killed
    When acme sends an order through host a1
    And 1 seconds pass
    And host a1 is killed
    And host a2 is killed
    And host b1 is killed
    And 8 seconds pass
    And the same request is sent again through host b2
    And 6 seconds pass

  Scenario: an order sent to a frozen target has an unknown outcome and does not run twice
    When target ta1 freezes
    And target ta2 freezes
    And target tb1 freezes
    And target tb2 freezes
    And acme sends an order through host a1
    And 7 seconds pass
    Then the outcome is unknown
    When target ta1 thaws
    And target ta2 thaws
    And target tb1 thaws
    And target tb2 thaws
    And 5 seconds pass
    And the same request is sent again through host b2
    And 6 seconds pass

  Scenario: a GET request without an idempotency key succeeds
    When acme sends a GET request for key k1 through host a1
    And 1 seconds pass
    Then the request succeeds

  Scenario: open connections stop responding while new ones work
    When open connections to target ta1 stop responding
    And callers send requests for 6 seconds
    Then every request was served

  Scenario: a request that crashes targets is quarantined after two crashes, whichever host receives it
    When requests with "poison" in their path crash targets
    And acme sends the poison request through host a1
    And callers send requests for 10 seconds
    And acme sends the poison request through host b1
    And callers send requests for 10 seconds
    And acme sends the poison request through host a2
    And callers send requests for 10 seconds
    Then at most 2 targets crashed
    And the request is refused as quarantined

  Scenario: a slow target delays only its own keys
    When target ta1 becomes 10 times slower
    And callers send requests for 8 seconds
    Then every key is served again within 2 seconds
