Feature: The gateway on the users' platform

  Scenario: Every fault of a settings file is reported and nothing is started
    Given a settings file of a gateway with two faults
    Then the check reports both faults and exits with status 2

  Scenario: A planned stop interrupts no request
    Given a platform stand-in and a gateway
    When a stream is requested and the gateway gets a signal to stop
    Then the stream completes and the gateway exits by itself
