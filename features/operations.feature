Feature: Changes by operators

  Scenario: Sheets with faults are rejected with the location of each fault
    Given a fleet with 1 entry VMs
    Then publishing a sheet with one more row is rejected with the location of its fault
      | row                                              | place                |
      | customer,other,,,,,,,heavy,0,,,,,,               | row 8, column weight |
      | customer,market,,,,,,,1,0,,,,,,                  | row 8, column name   |
      | engine,e9,,,dc1,host:1,ledger,mixed,,,yes,no,,,, | row 8, column address |
      | engine,e9,,,dc1,127.0.0.1:1,no,mixed,,,yes,no,,,, | row 8, column serves |
      | route,,,,,,none,,,,,,GET,/x,yes,no               | row 8, column serves |
      | model,short                                      | row 8                |
    And the sheet in force is still the first one

  Scenario: Of two concurrent publications one is accepted and the other gets a conflict
    Given a fleet with 2 entry VMs
    When ann at entry VM 1 and bob at entry VM 2 publish over the same revision
    Then one is accepted and the other gets a conflict that names the winner

  Scenario: Withdrawing a key aborts the stream of a connected caller
    Given a fleet with 2 entry VMs
    When a caller streams from entry VM 2 and its key is withdrawn at entry VM 1
    Then the stream is aborted within 3 seconds
    And the key is refused at every entry VM

  Scenario: A fresh process recovers the configuration from the log
    Given a fleet with 1 entry VMs
    When entry VM 1 is killed and entry VM 2 starts
    And a caller sends a prompt for 5 tokens to entry VM 2
    Then the answer has the status 200 and 5 tokens

  Scenario: During a log outage changes are refused as not run and requests are served
    Given a fleet with 1 entry VMs
    When the log goes down
    And the customer kiosk is created at entry VM 1
    Then the answer has the status 503, the code log_unavailable and reports not run
    When a caller sends a prompt for 5 tokens to entry VM 1
    Then the answer has the status 200 and 5 tokens
    When the log comes back
    Then the customer kiosk is unknown at entry VM 1
