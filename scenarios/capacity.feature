Feature: No worker is ever given more than it has

  Scenario: More work than room waits, and none is over capacity
    Given 1 halls with 2 instances and 2 workers
    When 60 task works of 300 ms are sent to instance 1
    And 60 task works of 300 ms are sent to instance 2
    Then every work is answered done
    And no worker was ever over its capacity
    And no task ever ran twice at a time

  Scenario: A killed owner's workers are taken over within 5 s, full as they are
    Given 1 halls with 2 instances and 2 workers
    When 24 task works of 6000 ms are sent to instance 2
    And all works have started
    And instance 1 is killed
    Then instance 2 owns every worker within 5000 ms
    When 24 task works of 200 ms are sent to instance 2
    Then every work is answered done
    And no worker was ever over its capacity
    And no task ever ran twice at a time

  Scenario: Slots and connections hold under a storm of lookups
    Given 1 halls with 2 instances and 2 workers
    When 120 lookups that take 100 ms go to instance 1
    Then every lookup got its own whole answer or a true refusal
    And at least 60 lookups were served
    And no worker was ever over its capacity
