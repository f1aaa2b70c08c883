Feature: A task never runs in two places at once

  Scenario: An owner paused past its lease does not start what it had in hand
    Given 1 halls with 2 instances and 2 workers
    When 30 task works of 400 ms are sent to instance 2
    And instance 1 is paused for 6000 ms
    Then every work is answered done
    And no task ever ran twice at a time
    And no worker was ever over its capacity

  Scenario: A start takes effect while its answer is lost
    Given 1 halls with 2 instances and 2 workers
    When worker 1 loses the answers of the next 3 starts
    And worker 2 loses the answers of the next 3 starts
    And 10 task works of 300 ms are sent to instance 1
    Then every work is answered done
    And no task ever ran twice at a time

  Scenario: A worker that can't be reached goes on running
    Given 1 halls with 2 instances and 2 workers
    When 12 task works of 2000 ms are sent to instance 1
    And all works have started
    And worker 1 is paused for 3000 ms
    Then every work is answered done
    And no task ever ran twice at a time

  Scenario: Both instances die one after the other under load
    Given 1 halls with 3 instances and 2 workers
    When 16 task works of 1500 ms are sent to instance 3
    And all works have started
    And instance 1 is killed
    And time passes for 1000 ms
    And instance 2 is killed
    Then every work is answered done
    And no task ever ran twice at a time
    And no worker was ever over its capacity
