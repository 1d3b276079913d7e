Feature: Connections with certificates

  Scenario: Only members of the fleet can connect to its interfaces, and certificates can be replaced
    Given a mesh of 2 entry VMs with certificates
    Then connections are accepted or refused by their certificate
      | interface | certificate | result   |
      | mesh      | member      | accepted |
      | mesh      | none        | refused  |
      | mesh      | expired     | refused  |
      | mesh      | foreign     | refused  |
      | mesh      | plain text  | refused  |
      | operators | member      | accepted |
      | operators | none        | refused  |
      | operators | expired     | refused  |
      | operators | foreign     | refused  |
      | operators | plain text  | refused  |
    And the operators' command ends with its exit code
      | certificate | code |
      | member      | 0    |
      | expired     | 1    |
      | foreign     | 1    |
      | none        | 1    |
    And an entry process with invalid files reports them all and does not start
    When a caller streams 800 tokens from entry VM 1
    And all certificates are replaced
    Then entry VM 1 presents its new certificates within 8 s
    And the stream is complete with 800 tokens
    When entry VM 2 is killed
    And entry VM 2 is started again
    Then entry VM 1 lists the entry VMs 1, 2 within 10 s
