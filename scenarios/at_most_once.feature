Feature: Work that must not be repeated runs at most once

  Scenario: The same work is sent again to an instance of another hall
    Given 2 halls with 1 instances and 1 workers
    When 5 at-most-once task works of 500 ms are sent to instance 1
    And all works are sent again to instance 2
    Then every work is answered done
    And every answer is true

  Scenario: The accepting instance dies with its work running
    Given 1 halls with 2 instances and 2 workers
    When 6 at-most-once task works of 1500 ms are sent to instance 1
    And all works have started
    And instance 1 is killed
    And all works are sent again to instance 2
    Then every work is answered done
    And every answer is true

  Scenario: The answer of the accepting append is lost
    Given 1 halls with 2 instances and 2 workers
    When the log loses the answers of the next 1 appends of accepted
    And 3 at-most-once task works of 100 ms are sent to instance 1
    Then every work is answered done
    And every answer is true

  Scenario: Sent again during and after an outage of the log
    Given 1 halls with 2 instances and 2 workers
    When 4 at-most-once task works of 3000 ms are sent to instance 1
    And all works have started
    And the log goes out
    And all works are sent again to instance 2
    And the log comes back
    And all works are sent again to instance 2
    Then every work is answered done
    And every answer is true

  Scenario: The log has forgotten the records and every instance was replaced
    Given 1 halls with 2 instances and 2 workers, and checkpoints every 1000 ms
    When the log keeps only 30 records of a stream
    And 20 at-most-once task works of 100 ms are sent to instance 1
    And all works have started
    And time passes for 6000 ms
    And instance 1 is replaced
    And instance 2 is replaced
    And all works are sent again to instance 2
    Then every work is answered done
    And every answer is true

  Scenario: The accepting instance dies before its record could land
    Given 1 halls with 2 instances and 2 workers
    When the log goes out for records only
    And 3 at-most-once task works of 100 ms are sent to instance 1
    And instance 1 is killed
    And the log comes back
    And all works are sent again to instance 2
    Then every work is answered done
    And every answer is true
