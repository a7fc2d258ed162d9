Feature: Requests are served during store outages and network partitions between failure domains

  Scenario: hosts serve on pledges during a long store outage
    Given credentials are trusted for 600 seconds without updates
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 2
    When the store goes down
    And callers send requests for 30 seconds
    Then every request was served
    When the store recovers
    And callers send requests for 10 seconds
    Then every request was served

  Scenario: pledges end after the configured time
    Given credentials are trusted for 600 seconds without updates
    And hosts may serve on pledges for 10 seconds
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 2
    When the store goes down
    And callers send requests for 8 seconds
    Then every request was served
    When callers send requests for 12 seconds
    Then no request is served after 12 seconds

  Scenario: without updates, credentials are trusted no longer than configured
    Given credentials are trusted for 5 seconds without updates
    And a fleet of 2 domains with 2 hosts and 2 targets each, seed 3
    When the store goes down
    And callers send requests for 12 seconds
    Then no request is served after 7 seconds

  Scenario: a host is killed while the store is down
    Given credentials are trusted for 600 seconds without updates
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 4
    When the store goes down
    And callers send requests for 5 seconds
    And host c2 is killed
    And callers send requests for 5 seconds
    And the store recovers
    And callers send requests for 10 seconds

  Scenario: the store's replies are lost although its writes take effect
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 5
    When an operator moves key k7 to target tc2
    And the store's replies are lost although its writes take effect
    And callers send requests for 6 seconds
    And the store's replies arrive again
    And callers send requests for 8 seconds
    Then key k7 is owned by target tc2

  Scenario: the store's replies are lost and the assigner is killed
    Given credentials are trusted for 600 seconds without updates
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 6
    When target ta1 is killed
    And 1300 milliseconds pass
    And the store's replies are lost although its writes take effect
    And callers send requests for 3 seconds
    And host assigner is killed
    And the store's replies arrive again
    And callers send requests for 10 seconds
    Then every key is served again within 6 seconds

  Scenario: the store is slow
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 7
    When the store takes 300 milliseconds for each call
    And callers send requests for 10 seconds
    Then every request was served

  Scenario: a domain isolated from the store is served through its peers
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 8
    When domain a is isolated from the store
    And callers send requests for 15 seconds
    Then every request was served

  Scenario: a domain isolated from its peers keeps its own keys through the store
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 9
    When domain a is isolated from its peers
    And callers use only hosts outside domain a
    And callers send requests for 10 seconds
    And domain a is reconnected
    And callers send requests for 10 seconds

  Scenario: a domain isolated from both loses its keys, and the other domains serve them
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 10
    When domain a is isolated from its peers
    And domain a is isolated from the store
    And callers use only hosts outside domain a
    And callers send requests for 10 seconds
    Then every key is served again within 4 seconds
    When domain a is reconnected
    And callers send requests for 12 seconds
    Then target ta1 starts requests again

  Scenario: a service is served in its home domain while the domain is isolated from both
    Given credentials are trusted for 600 seconds without updates
    And the service's home domain is a
    And a fleet of 3 domains with 3 hosts and 3 targets each, seed 11
    When domain a is isolated from its peers
    And domain a is isolated from the store
    And callers use only hosts of domain a
    And callers send requests for 20 seconds
    Then every request was served

  Scenario: a paused host resumes while a domain is isolated from the store
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 12
    When host dispatcher is paused
    And domain a is isolated from the store
    And callers send requests for 4 seconds
    And the paused host resumes
    And callers send requests for 4 seconds
    And domain a is reconnected
    And callers send requests for 6 seconds

  Scenario: all hosts are replaced at once
    Given hosts may serve on pledges for 5 seconds
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 13
    When all hosts are killed
    And host a1 is started in domain a
    And host b1 is started in domain b
    And 14 seconds pass
    And callers use only hosts outside domain c
    And callers send requests for 5 seconds
    Then every key is served again within 15 seconds

  Scenario: a configuration change reaches all hosts, including those isolated from the store
    Given a fleet of 4 domains with 3 hosts and 1 targets each, seed 14
    When domain a is isolated from the store
    And an operator changes the service's document
    Then every host has the changed document within 5 seconds

  Scenario: a host that starts while the store is down receives the configuration from its peers
    Given credentials are trusted for 600 seconds without updates
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 15
    When an operator changes the service's document
    And 2 seconds pass
    And the store goes down
    And host c3 is started in domain c
    Then every host has the changed document within 8 seconds

  Scenario Outline: targets that check <fencing> have one owner per key although targets and hosts freeze or are killed
    Given a fleet of 3 domains with 2 hosts and 2 targets each that check <fencing>, seed <seed>
    When target ta1 freezes
    And callers send requests for 9 seconds
    And target ta1 thaws
    And callers send requests for 3 seconds
    And host dispatcher is killed
    And callers send requests for 6 seconds
    And target tb1 is killed
    And callers send requests for 6 seconds

    Examples:
      | fencing  | seed |
      | checked  | 20   |
      | deadline | 21   |
      | none     | 22   |

  Scenario: a target is killed in a domain that is isolated from its peers
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 23
    When domain b is isolated from its peers
    And target tb1 is killed
    And callers send requests for 10 seconds
    And domain b is reconnected
    And callers send requests for 12 seconds
    Then every key is served again within 18 seconds

  Scenario: a domain isolated from its peers while the store is down stops serving
    Given credentials are trusted for 600 seconds without updates
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 24
    When the store goes down
    And domain c is isolated from its peers
    And callers use only hosts of domain c
    And callers send requests for 10 seconds
    Then no request is served after 3 seconds
    When domain c is reconnected
    And the store recovers
    And callers send requests for 12 seconds
    Then every key is served again within 18 seconds
