Feature: Backend servers that break the protocol

  Scenario: Each caller gets its own whole answer, or learns that it did not
    Given a platform stand-in and a gateway
    And a backend server that breaks the protocol as its requests say
    When each of these repeated answers is followed by a request, 10 times
      | the answer is sent twice |
      | before the next          |
      | after a pause            |
      | in two parts             |
      | after a 1xx              |
    Then each request gets its own answer
    When requests get these answers
      | the body is        |
      | shorter than said  |
      | without last chunk |
      | reset              |
    Then each caller gets status 502
    When requests get these answers without end, each followed by another request
      | bytes             |
      | a body            |
      | a header line     |
      | header lines      |
      | 1xx responses     |
      | a chunk extension |
      | trailers          |
      | a longer body     |
    Then each caller gets its own answer or status 502 or 504 within 4 s
    And each other request is served
    And the gateway has closed the connections and takes under 48 MB more
