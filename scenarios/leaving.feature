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
