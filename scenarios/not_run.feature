Feature: "Not run" is true, and said at once

  Scenario: During an outage recorded work is refused at once
    Given 1 halls with 2 instances and 2 workers
    When the log goes out
    And 5 at-most-once task works of 100 ms are sent to instance 1
    Then all answers are not_run for log_unavailable within 500 ms
    When the log comes back
    And time passes for 1500 ms
    Then every answer is true

  Scenario: Work that fits no worker is refused at once
    Given 1 halls with 1 instances and 1 workers
    When a task of 64 processors is sent to instance 1
    Then all answers are not_run for never_fits within 500 ms

  Scenario: Work that reaches its deadline in the queue never runs
    Given 1 halls with 2 instances and 1 workers
    When 16 task works of 3000 ms are sent to instance 1
    And all works have started
    And 10 tasks due in 1000 ms are sent to instance 2
    Then 10 answers are not_run for deadline
    And every answer is true

  Scenario: Queued work that is cancelled never runs
    Given 1 halls with 2 instances and 1 workers
    When 16 task works of 2500 ms are sent to instance 1
    And all works have started
    And 300 task works of 100 ms are sent to instance 2
    And the last 300 works are cancelled at instance 1
    Then 300 answers are not_run for cancelled
    And every answer is true
