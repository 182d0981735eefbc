Feature: A checklist runs at most once when its entry is killed
  Detects a duplicate run after a checklist is repeated through another entry,
  and an answer that cannot be recovered.

  Scenario Outline: entry is killed while a checklist is handed over
    Given a checklist whose handover is held at the step <step>
    When its entry is killed
    Then repeating it through the other entry returns the answer
    And the checklist ran exactly once

    Examples:
      | step               |
      | request in transit |
      | minion runs        |
      | answer in transit  |
      | answer unrecorded  |
