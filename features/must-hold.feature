Feature: What must always hold
  Each scenario runs real processes and checks the histories of callers and endpoints.

  Background:
    Given a deployment behind relays with 2 entries, 1 control replica, 2 engines and 1 service
    And a key for "thapathali-traps"

  @holds-03 @holds-04
  Scenario: Requests of two workspaces through resets run for their own workspace, without their keys
    Given another key for "patan-grease"
    When 20 streamed requests of 60 tokens from both workspaces are under way
    And the connection "entries>sidecar-engine-1" is reset
    And the connection "entries>sidecar-engine-2" is reset
    Then all requests end with their own whole answers
    And each request has run for its own workspace
    And no endpoint has seen a key

  @holds-05
  Scenario: A withdrawn key is refused everywhere, also by an entry that is cut off
    Given the key is accepted by both entries
    When the connection "entry-2>control-1" is silent
    And the key is withdrawn
    Then no entry accepts the key 3 seconds after the withdrawal

  @holds-05
  Scenario: A withdrawn key is refused by an entry that was frozen meanwhile
    Given the key is accepted by both entries
    When "entry-2" is frozen
    And the key is withdrawn
    And "entry-2" is thawed
    Then no entry accepts the key 3 seconds after the withdrawal

  @holds-09
  Scenario Outline: Answers under way stay whole when connections are <fault>
    When 20 streamed requests of 200 tokens from one workspace are under way
    And the connection "entries>sidecar-engine-1" is <fault>
    And the connection "entries>sidecar-engine-1" is passing after 4 seconds
    Then all requests end with their own whole answers

    Examples:
      | fault   |
      | silent  |
      | refused |

  @holds-10
  Scenario: What was refused as not run has not run
    When 40 streamed requests of 200 tokens from one workspace are under way
    And "sidecar-engine-1" is killed
    And the connection "entries>sidecar-engine-2" is silent
    And the connection "entries>sidecar-engine-2" is passing after 4 seconds
    Then every request ends, and every refusal that says not run is true

  @holds-12
  Scenario: A leaving endpoint gets no new work
    Given requests are sent without pause
    When "sidecar-engine-1" is asked to stop
    Then "engine-1" gets no new work after 2 seconds
    And every request of the flow is answered whole

  @holds-13
  Scenario Outline: A planned stop of <process> cuts no request
    When 10 streamed requests of 300 tokens from one workspace are under way over both entries
    And "<process>" is stopped and has ended
    Then all requests end with their own whole answers

    Examples:
      | process          |
      | sidecar-engine-1 |
      | entry-1          |

  @holds-14
  Scenario: An accepted configuration is in force everywhere, also on an entry that was cut off
    When the connection "entry-2>control-1" is silent
    And the class "batch" is added to the plan
    Then the command says that it is in force within 3 seconds
    And no entry works with the former plan
    When the connection "entry-2>control-1" is passing
    Then both entries accept the class "batch" within 5 seconds
