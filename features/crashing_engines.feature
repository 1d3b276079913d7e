Feature: Prompts that crash engines

  Scenario: A prompt part that ends engines stops reaching them, others are served
    Given a platform stand-in and a gateway
    And 5 engines that end under a prompt part
    When 24 prompts with the part and as many without it are sent in turn
    Then at most 3 engines end later than 3 s after the fifth
    And each prompt without the part is served from 6 s after the fifth on
    And the last 3 prompts with the part are refused as not run
