Feature: Log lines, metrics and status of an entry process

  Scenario: Every request has one log line, and no line contains a key, prompt or body
    Given a fleet with 1 entry VMs whose log lines and metrics are recorded
    When a caller sends requests with markers in keys, prompts and bodies
      | request      |
      | stream       |
      | no stream    |
      | service call |
      | wrong key    |
      | other service |
    Then the log lines of the requests are
      | route                | customer | backend_server | outcome | status | tokens |
      | /v1/chat             | market   | engine-a       | done    | 200    | 7      |
      | /v1/chat             | market   | engine-a       | done    | 200    | 7      |
      | /v1/services         | market   | levy-a         | done    | 200    | 0      |
      | /v1/chat             |          |                | not_run | 401    | 0      |
      | /v1/services         |          |                | not_run | 404    | 0      |
    And no log line contains a marker
    And the metrics requests.done, requests.not_run, tokens.generated and requests.first_token arrive
    And the status of entry VM 1 reports that it serves

  Scenario: The log level setting suppresses the log lines of requests
    Given a fleet with 1 entry VMs that logs from level warning
    When a caller sends a prompt for 5 tokens to entry VM 1
    Then no log line of a request is written
