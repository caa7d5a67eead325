Feature: The whole path, in separate processes
  A request goes from a caller through an entry and a sidecar to an endpoint, and its whole answer back.

  Background:
    Given a deployment with 2 entries, 1 control replica, 2 engines and 1 service
    And a key for "thapathali-traps"

  Scenario: Streamed and whole requests of several classes get their own answers
    When 12 streamed and 12 whole requests of the classes "chat, report" are sent over both entries
    Then all requests end with their own whole answers
    And no endpoint has seen a key

  Scenario: A call of a plain service
    When "/dispatch/orders?day=1" is called with the body "{"order":1}"
    Then the call is answered with status 200
    And no endpoint has seen a key

  Scenario: Bad input gets a clear answer and runs nowhere
    Then bad requests are refused as not run:
      | fault                    | status | error            |
      | no key                   | 401    | keyMissing       |
      | an unknown key           | 401    | keyRefused       |
      | an unknown path          | 404    | routeUnknown     |
      | a model outside the plan | 403    | notInPlan        |
      | a class outside the plan | 403    | notInPlan        |
      | a body that is not JSON  | 400    | malformedRequest |
      | a body with a wrong type | 400    | malformedRequest |
      | a body over the limit    | 413    | requestTooLarge  |
      | the key in the body      | 400    | malformedRequest |
      | the key in the query     | 400    | malformedRequest |
    And no engine has run anything
