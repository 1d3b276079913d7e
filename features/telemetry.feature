Feature: Log lines, metrics and status of an entry process

  Scenario: Every request has one line, and no line holds a key, prompt or body
    Given a fleet with 1 entry VMs whose lines and metrics are kept
    When a caller sends requests with marked keys, prompts and bodies
      | request      |
      | stream       |
      | whole        |
      | service call |
      | wrong key    |
      | other service |
    Then the lines of the requests are
      | route                | customer | backend_server | outcome | status | tokens |
      | /v1/chat             | market   | engine-a       | done    | 200    | 7      |
      | /v1/chat             | market   | engine-a       | done    | 200    | 7      |
      | /v1/services         | market   | levy-a         | done    | 200    | 0      |
      | /v1/chat             |          |                | not_run | 401    | 0      |
      | /v1/services         |          |                | not_run | 404    | 0      |
    And no line holds a mark
    And the metrics requests.done, requests.not_run, tokens.generated and requests.first_token arrive
    And the status of entry VM 1 tells that it serves

  Scenario: The level setting keeps lines of requests out
    Given a fleet with 1 entry VMs that logs from level warning
    When a caller sends a prompt for 5 tokens to entry VM 1
    Then no line of a request is written
