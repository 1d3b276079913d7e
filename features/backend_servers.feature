Feature: The backend server interface stand-in under faults

  Scenario Outline: An order is listed at most once whatever happens to its reply
    Given the backend server interface with the fault <fault>
    When a <kind> backend server is ordered twice with one order id
    Then the interface lists <count> orders after <seconds> seconds

    Examples:
      | fault                            | kind        | count | seconds |
      | {}                               | dependable  | 1     | 0       |
      | {"down": true}                   | dependable  | 0     | 0       |
      | {"lost_replies": 2}              | dependable  | 1     | 0       |
      | {"delay_seconds": 0.5}           | dependable  | 1     | 1       |
      | {"reclaimable_available": false} | reclaimable | 0     | 0       |
