Feature: A checklist runs at most once when its entry dies
  Guards against a duplicate sign-off after the supervisor repeats a checklist
  through another entry, and against an answer that stays lost.

  Scenario Outline: entry dies while a checklist is handed over
    Given a checklist that stops at the step <step>
    When its entry is killed
    Then repeating it through the other entry gives the answer
    And the checklist ran exactly once

    Examples:
      | step               |
      | request in transit |
      | minion runs        |
      | answer in transit  |
      | answer unrecorded  |
