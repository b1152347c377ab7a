Feature: Two faults at once, drawn from fixed seeds

  Scenario Outline: Ten pairs of faults under load
    Then the promises hold through seeds <first> to <last>

    Examples:
      | first | last |
      | 1     | 10   |
      | 11    | 20   |
      | 21    | 30   |
