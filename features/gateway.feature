Feature: The gateway on the users' platform

  Scenario: A faulty settings file names every fault and nothing is started
    Given a settings file of a gateway with two faults
    Then checking the file names both and ends with status 2

  Scenario: A planned stop cuts no request
    Given a platform stand-in and a gateway
    When a stream is requested and the gateway is told to stop
    Then the stream ends whole and the gateway ends by itself
