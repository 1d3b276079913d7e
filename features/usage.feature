Feature: Usage is reported exactly once and completely

  Scenario: Killed processes, a log outage and lost replies change no figure
    Given a mesh of 3 entry VMs that count usage, and usage processes on 2 VMs
    And the usage interface loses its next 2 replies
    When callers send requests through entry VMs 1 and 2
    And a caller of entry VM 2 disconnects before its answer
    Then windows are reported
    When the log goes down
    And callers send requests through entry VMs 1 and 2
    And entry VM 1 is killed during a stream that entry VM 2 resumes
    And the log comes back
    And the process that reports usage is killed and its VM leaves the VM list
    And callers send requests through entry VMs 2 and 3
    And entry VM 3 is asked to stop
    Then within 30 s the reported usage equals the work that was done
    And no window was reported with different figures
    And entry VM 2 lists the records of entry VM 1 for the customer market
    When the other usage process is asked to stop
    Then it releases its authority
