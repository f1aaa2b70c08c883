Feature: Every caller gets the whole answer to its own request

  Scenario: Many callers at once, answered out of order
    Given 1 halls with 2 instances and 2 workers
    When 30 lookups that take 60 ms go to instance 1
    And 30 lookups that take 5 ms go to instance 1
    And 30 lookups that take 30 ms go to instance 2
    Then every lookup got its own whole answer or a true refusal
    And at least 80 lookups were served

  Scenario: Callers that leave early do not disturb the next ones
    Given 1 halls with 2 instances and 2 workers
    When 20 callers ask instance 1 and leave at once
    And 20 lookups that take 20 ms go to instance 1
    Then every lookup got its own whole answer or a true refusal
    And at least 20 lookups were served

  Scenario: A dead instance costs only the lookups inside it
    Given 1 halls with 2 instances and 2 workers
    When 10 lookups that take 300 ms go to instance 2
    And instance 1 is killed
    Then every lookup got its own whole answer or a true refusal
    And instance 2 owns every worker within 5000 ms
    And a lookup at instance 2 is served

  Scenario: A hall serves lookups and streams while the platform is away
    Given 1 halls with 2 instances and 2 workers
    When a stream of 30 parts is held at instance 1
    And the log goes out
    And the instance list goes out
    And time passes for 4000 ms
    Then a lookup at instance 1 is served
    And a lookup at instance 2 is served
    And every stream came whole
