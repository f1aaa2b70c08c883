Feature: A planned stop cuts off nothing

  Scenario: Streams, tasks and callers outlive the stop of their instance
    Given 1 halls with 2 instances and 2 workers
    When a stream of 25 parts is held at instance 1
    And 8 task works of 3000 ms are sent to instance 1
    And all works have started
    And instance 1 is told to stop
    Then instance 1 is not ready but alive
    And instance 2 owns every worker within 8000 ms
    And a lookup at instance 2 is served
    And every stream came whole
    And every work is answered done
    And instance 1 has left with code 0 within 10000 ms
    And no worker was ever over its capacity
    And no task ever ran twice at a time

  Scenario: The list says that the instance is leaving
    Given 1 halls with 2 instances and 2 workers
    When the list marks instance 1 as leaving
    Then instance 1 has left with code 0 within 15000 ms
    And instance 2 owns every worker within 5000 ms

  Scenario: A second stop signal ends the process at once
    Given 1 halls with 2 instances and 2 workers
    When a stream of 50 parts is held at instance 1
    And instance 1 is told to stop
    And time passes for 300 ms
    And instance 1 is told to stop
    Then instance 1 has left with code 3 within 3000 ms
    And instance 2 owns every worker within 6000 ms

  Scenario: Killed in the middle of its hand-over
    Given 1 halls with 2 instances and 2 workers
    When 8 task works of 2500 ms are sent to instance 2
    And all works have started
    And instance 1 is told to stop
    And instance 1 is killed
    Then instance 2 owns every worker within 6000 ms
    And every work is answered done
    And no task ever ran twice at a time

  Scenario: The last answer is given in the turn in which its instance leaves
    Given 1 halls with 2 instances and 2 workers
    When 4 task works of 9000 ms due in 5000 ms are sent to instance 1
    And all works have started
    And instance 1 is told to stop
    Then instance 1 has left with code 0 within 15000 ms
    And every work is answered unknown for running_at_deadline

  Scenario: The log is down when the stop is asked for
    Given 1 halls with 2 instances and 2 workers
    When the log goes out
    And instance 1 is told to stop
    And time passes for 2000 ms
    Then instance 1 is not ready but alive
    When the log comes back
    Then instance 1 has left with code 0 within 15000 ms

  Scenario: Both instances are replaced under load
    Given 1 halls with 2 instances and 2 workers
    When lookups go on at instance 2 in the background
    And instance 1 is replaced
    Then every background lookup was served
    And a lookup at instance 1 is served

  Scenario: All instances of a hall are replaced one after the other under load
    Given 1 halls with 3 instances and 2 workers
    When 12 task works of 6000 ms are sent to instance 3
    And all works have started
    And lookups go on at instance 3 in the background
    And instance 1 is replaced
    And instance 2 is replaced
    Then every background lookup was served
    When instance 3 is told to stop
    Then instance 3 has left with code 0 within 20000 ms
    And every work is answered done
    And no task ever ran twice at a time
    And no worker was ever over its capacity
