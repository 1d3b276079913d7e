Feature: One control process at a time gives orders

  Scenario: After its holder is killed, the authority moves and old orders have no effect
    Given control processes on 2 VMs with an engine that checks fencing and one that does not
    When the holder of the authority is killed
    Then another control process holds it under a newer fencing number
    When the sheet gives both engines the role prefill
    Then the engine that checks fencing takes the role prefill
    And the engine that checks fencing refuses an order under the old fencing number
    And the engine that does not check has got no order
    When the killed holder's control process starts again on the same address
    Then the engine that does not check takes the role prefill
    And neither engine got a conflicting order

  Scenario: A holder that is asked to stop hands the authority over
    Given control processes on 2 VMs with an engine that checks fencing and one that does not
    When the holder of the authority is asked to stop
    Then another control process holds it under a newer fencing number
    When the sheet gives both engines the role prefill
    Then the engine that does not check takes the role prefill
    And the audit trail names every order
