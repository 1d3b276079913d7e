Feature: Requests through separate processes

  Scenario: A prompt is answered completely through an entry process
    Given a fleet with 2 entry VMs
    When a caller sends a prompt for 20 tokens to entry VM 2
    Then the answer has the status 200 and 20 tokens

  Scenario Outline: Requests that cannot be served are refused as not run
    Given a fleet with 1 entry VMs
    When a caller sends a <fault> to entry VM 1
    Then the answer has the status <status>, the code <code> and reports not run

    Examples:
      | fault              | status | code              |
      | prompt without key | 401    | invalid_key       |
      | malformed body     | 400    | invalid_request   |
      | unknown model      | 404    | unknown_model     |
      | unknown service    | 404    | unknown_service   |
