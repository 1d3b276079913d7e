Feature: Entry VMs that are killed or lose the log

  Scenario: A killed entry VM is removed from the address list until it is restarted
    Given a mesh of 3 entry VMs
    When entry VM 2 is killed
    Then entry VM 1 lists the entry VMs 1, 3 within 5 s
    When entry VM 2 is started again
    Then entry VM 1 lists the entry VMs 1, 2, 3 within 10 s

  Scenario: A VM without the log serves with its peers' updates, and without log and peers it refuses requests
    Given a mesh of 3 entry VMs
    When entry VM 2 loses its connection to the log
    And an operator withdraws the key and issues another at entry VM 1
    And 5 seconds pass
    Then entry VM 2 serves the new key and refuses the old one
    When a caller opens a stream of 3000 tokens at entry VM 2
    And entry VM 1 is killed
    And entry VM 3 is killed
    And 4 seconds pass
    Then entry VM 2 refuses with no_permit and reports not run
    When 3 seconds pass
    Then the stream has been aborted
