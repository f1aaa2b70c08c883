Feature: Halls that lose each other go on, and agree when they meet again

  Scenario: A hall is cut off and joined again
    Given 2 halls with 2 instances and 1 workers, the first behind links that can be cut
    When 4 at-most-once task works of 5000 ms are sent to instance 1
    And all works have started
    And the first hall is cut off
    And all works are sent again to instance 3
    And time passes for 4000 ms
    Then a lookup at instance 1 is served
    And a lookup at instance 3 is served
    When 3 refused at-most-once works are sent to instance 1
    And the first hall is joined again
    Then every work is answered done
    And every answer is true
    And no task ever ran twice at a time
    And no worker was ever over its capacity

  Scenario: Configuration applied during the cut reaches the hall afterwards
    Given 2 halls with 1 instances and 1 workers, the first behind links that can be cut
    When the first hall is cut off
    And operator ana applies a file over version 1 at instance 2
    Then the last apply was accepted
    When the first hall is joined again
    Then instance 1 takes version 2 within 4000 ms

  Scenario: An owner dies while the log is away
    Given 1 halls with 2 instances and 2 workers
    When the log goes out
    And instance 1 is killed
    And time passes for 5000 ms
    Then a lookup at instance 2 is served
    When the log comes back
    Then instance 2 owns every worker within 6000 ms
