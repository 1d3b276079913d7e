Feature: Graceful shutdown

  Scenario: A process that shuts down interrupts no request
    Given a fleet with 1 entry VMs
    And entry VM 1 is restarted with a drain of 2 seconds
    When a caller streams 500 tokens from entry VM 1 and the process gets SIGTERM
    Then a prompt during the drain is answered and the process reports that it leaves
    And a prompt after the drain is refused as shutting_down and not run
    And the stream has all 500 tokens
    And the process has ended with status 0
