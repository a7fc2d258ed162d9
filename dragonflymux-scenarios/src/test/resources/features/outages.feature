Feature: Service goes on through outages of the store and cuts between failure domains

  Scenario: the store is down for long and hosts serve on pledges
    Given credentials are trusted for 600 seconds without news
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 2
    When the store goes down
    And callers ask for 30 seconds
    Then every request was served at all times
    When the store comes back
    And callers ask for 10 seconds
    Then every request was served at all times

  Scenario: pledges end at the declared time
    Given credentials are trusted for 600 seconds without news
    And pledges may stand in for the store for 10 seconds
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 2
    When the store goes down
    And callers ask for 8 seconds
    Then every request was served at all times
    When callers ask for 12 seconds
    Then no request is served any more after 12 seconds

  Scenario: without news, credentials are trusted no longer than the document says
    Given credentials are trusted for 5 seconds without news
    And a fleet of 2 domains with 2 hosts and 2 targets each, seed 3
    When the store goes down
    And callers ask for 12 seconds
    Then no request is served any more after 7 seconds

  Scenario: a host is lost while the store is down
    Given credentials are trusted for 600 seconds without news
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 4
    When the store goes down
    And callers ask for 5 seconds
    And host c2 is killed
    And callers ask for 5 seconds
    And the store comes back
    And callers ask for 10 seconds

  Scenario: the store loses its answers after writes took effect
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 5
    When an operator moves key k7 to target tc2
    And the store's answers are lost after its writes took effect
    And callers ask for 6 seconds
    And the store's answers arrive again
    And callers ask for 8 seconds
    Then key k7 is owned by target tc2

  Scenario: the store loses answers and the assigner is lost
    Given credentials are trusted for 600 seconds without news
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 6
    When target ta1 is lost
    And 1300 milliseconds pass
    And the store's answers are lost after its writes took effect
    And callers ask for 3 seconds
    And host assigner is killed
    And the store's answers arrive again
    And callers ask for 10 seconds
    Then every key is served again within 6 seconds

  Scenario: the store is slow
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 7
    When the store takes 300 milliseconds for each call
    And callers ask for 10 seconds
    Then every request was served at all times

  Scenario: a domain cut off from the store is carried by its peers
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 8
    When domain a is cut off from the store
    And callers ask for 15 seconds
    Then every request was served at all times

  Scenario: a domain cut off from its peers keeps its own keys through the store
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 9
    When domain a is cut off from its peers
    And callers use only hosts outside domain a
    And callers ask for 10 seconds
    And domain a is joined again
    And callers ask for 10 seconds

  Scenario: a domain cut off from both gives up its keys, and the others serve them
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 10
    When domain a is cut off from its peers
    And domain a is cut off from the store
    And callers use only hosts outside domain a
    And callers ask for 10 seconds
    Then every key is served again within 4 seconds
    When domain a is joined again
    And callers ask for 12 seconds
    Then target ta1 works again

  Scenario: a service at home in a domain goes on there while it is cut off from both
    Given credentials are trusted for 600 seconds without news
    And the service's home is domain a
    And a fleet of 3 domains with 3 hosts and 3 targets each, seed 11
    When domain a is cut off from its peers
    And domain a is cut off from the store
    And callers use only hosts of domain a
    And callers ask for 20 seconds
    Then every request was served at all times

  Scenario: a paused host wakes after its domain was cut off and joined
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 12
    When host dispatcher is paused
    And domain a is cut off from the store
    And callers ask for 4 seconds
    And the paused host goes on
    And callers ask for 4 seconds
    And domain a is joined again
    And callers ask for 6 seconds

  Scenario: all hosts are replaced at once
    Given pledges may stand in for the store for 5 seconds
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 13
    When all hosts are killed
    And host a1 is started in domain a
    And host b1 is started in domain b
    And 14 seconds pass
    And callers use only hosts outside domain c
    And callers ask for 5 seconds
    Then every key is served again within 15 seconds

  Scenario: a change of the configuration reaches all, through a partition too
    Given a fleet of 4 domains with 3 hosts and 1 targets each, seed 14
    When domain a is cut off from the store
    And an operator changes the service's document
    Then the document's change is in force everywhere within 5 seconds

  Scenario: a host that starts while the store is down learns from its peers
    Given credentials are trusted for 600 seconds without news
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 15
    When an operator changes the service's document
    And 2 seconds pass
    And the store goes down
    And host c3 is started in domain c
    Then the document's change is in force everywhere within 8 seconds

  Scenario Outline: targets that check <fencing> have one owner through losses and freezes
    Given a fleet of 3 domains with 2 hosts and 2 targets each that check <fencing>, seed <seed>
    When target ta1 freezes
    And callers ask for 9 seconds
    And target ta1 thaws
    And callers ask for 3 seconds
    And host dispatcher is killed
    And callers ask for 6 seconds
    And target tb1 is lost
    And callers ask for 6 seconds

    Examples:
      | fencing  | seed |
      | checked  | 20   |
      | deadline | 21   |
      | none     | 22   |

  Scenario: a target is lost in a domain that is cut off from its peers
    Given a fleet of 3 domains with 2 hosts and 2 targets each, seed 23
    When domain b is cut off from its peers
    And target tb1 is lost
    And callers ask for 10 seconds
    And domain b is joined again
    And callers ask for 12 seconds
    Then every key is served again within 18 seconds

  Scenario: a domain cut off from its peers while the store is down stops
    Given credentials are trusted for 600 seconds without news
    And a fleet of 3 domains with 2 hosts and 2 targets each, seed 24
    When the store goes down
    And domain c is cut off from its peers
    And callers use only hosts of domain c
    And callers ask for 10 seconds
    Then no request is served any more after 3 seconds
    When domain c is joined again
    And the store comes back
    And callers ask for 12 seconds
    Then every key is served again within 18 seconds
