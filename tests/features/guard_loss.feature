Feature: A request that is reported as not run never runs
  Detects a request that runs after its caller was told that it did not run,
  because its guard was killed or suspended during the handover.

  Scenario Outline: guard is lost while a checklist is handed over
    Given a checklist whose handover is held at the step <step>
    When its guard is <loss>
    Then the caller gets an outcome within 5 seconds
    And a checklist reported as not run never ran
    And repeating it through the other entry runs it at most once

    Examples:
      | step                | loss      |
      | request in transit  | killed    |
      | before the minion   | killed    |
      | minion runs         | killed    |
      | answer in transit   | killed    |
      | request in transit  | suspended |
      | before the minion   | suspended |
      | minion runs         | suspended |
      | answer in transit   | suspended |
