Feature: Write outcomes stay correct under two simultaneous faults from fixed seeds

  Scenario Outline: Ten pairs of faults under load
    Then writes resume and all outcomes are correct with seeds <first> to <last>

    Examples:
      | first | last |
      | 1     | 10   |
      | 11    | 20   |
      | 21    | 30   |
