Feature: A request that was refused as not run did not run
  Guards against a guard that runs a request after the caller was told that it
  did not, when the guard dies or freezes during the handover.

  Scenario Outline: guard is lost while a checklist is handed over
    Given a checklist that stops at the step <step>
    When its guard is <loss>
    Then the caller gets an outcome within 5 seconds
    And a checklist reported as not run never ran
    And repeating it through the other entry runs it at most once

    Examples:
      | step                | loss   |
      | request in transit  | killed |
      | before the minion   | killed |
      | minion runs         | killed |
      | answer in transit   | killed |
      | request in transit  | frozen |
      | before the minion   | frozen |
      | minion runs         | frozen |
      | answer in transit   | frozen |
