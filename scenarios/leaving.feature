Feature: A leaving endpoint gets nothing new

  Scenario: The worker itself says so while the list can't be read
    Given 1 halls with 2 instances and 2 workers
    When the instance list goes out
    And worker 1 says that it is leaving
    Then the leaving worker gets nothing new after 2 s

  Scenario: The instance list says so
    Given 1 halls with 2 instances and 2 workers
    When the list marks worker 2 as leaving
    Then the leaving worker gets nothing new after 2 s

  Scenario: The list lags behind the worker
    Given 1 halls with 2 instances and 2 workers
    When the instance list lags by 20000 ms
    And the list marks worker 1 as leaving
    And worker 1 says that it is leaving
    Then the leaving worker gets nothing new after 2 s
