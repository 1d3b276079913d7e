Feature: Only one control process at a time sends orders

  Scenario: After its holder is killed, another process takes over and old orders have no effect
    Given control processes on 2 VMs with an engine that checks fencing and one that does not
    When the holder of the authority is killed
    Then another control process holds it under a newer fencing number
    When the sheet assigns both engines the role prefill
    Then the engine that checks fencing changes to the role prefill
    And the engine that checks fencing refuses an order under the old fencing number
    And the engine that does not check has received no order
    When the killed holder's control process starts again on the same address
    Then the engine that does not check changes to the role prefill
    And neither engine has received a conflicting order

  Scenario: A holder that is asked to stop hands the authority over
    Given control processes on 2 VMs with an engine that checks fencing and one that does not
    When the holder of the authority is asked to stop
    Then another control process holds it under a newer fencing number
    When the sheet assigns both engines the role prefill
    Then the engine that does not check changes to the role prefill
    And the audit trail names every order
