Feature: Connections with certificates

  Scenario: Only members reach the fleet's interfaces, and certificates are replaced
    Given a mesh of 2 entry VMs with certificates
    Then connections are judged by their certificate
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
    And an entry process with unusable files names them all and does not start
    When a caller streams 800 tokens from entry VM 1
    And all certificates are replaced
    Then entry VM 1 shows its new certificates within 8 s
    And the stream ends whole with 800 tokens
    When entry VM 2 is killed
    And entry VM 2 is started again
    Then entry VM 1 names the entry VMs 1, 2 within 10 s
