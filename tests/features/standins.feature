Feature: The stand-ins behave like the systems that they replace

  Scenario: A flow is only granted to a higher generation, so a late home is fenced
    Given a stand-in upstream with 2 slots
    When its link opens a flow under generations 1, 1, 3 and 2
    Then the stand-in grants, refuses, grants and refuses the flow
    And an unknown flow under generation 2 is refused as unknown
    And a request under generation 2 is shed as stale and never run
    And a request of an unknown flow is shed and never run

  Scenario: A request beyond the slots is shed, and a cancelled one frees its slot at once
    Given a stand-in upstream with 1 slots
    When its link sends a long request, another one, cancels the first and sends a third
    Then the second is shed, the first has no answer and the third is answered

  Scenario: A second run of one request is counted as a double run
    Given a stand-in upstream with 2 slots
    When its link sends the same request twice
    Then the stand-in reports 1 double run

  Scenario: A request for another service is counted as misrouted
    Given a stand-in upstream with 2 slots
    When its link sends a request that names another service
    Then the stand-in reports 1 misrouted request

  Scenario: A push is repeated until it is acknowledged, over the newest link of the flow
    Given a stand-in upstream with 2 slots
    When its link opens a flow and leaves a push without acknowledgement
    Then the push is repeated on the link that took over the flow, and ends with its acknowledgement

  Scenario: A list of many flows comes in parts, so that no frame is too large
    Given a stand-in upstream with 2 slots
    When 450 flows are opened on the stand-in
    Then a new link gets 3 lists with 450 flows and only the last one is marked

  Scenario: A run outlives its link and its answer is lost
    Given a stand-in upstream with 2 slots
    When the link of the stand-in breaks during a run
    Then the run finishes and 1 answer is dropped

  Scenario: The fabric sprays one caller over the instances of the present list
    Given a stand-in fabric over 3 echoing instances
    When a caller sends 90 datagrams and the list then shrinks to 1 instance
    Then every instance got some, every echo came back, and later ones reach only that instance

  Scenario: A seed decides which datagrams are lost, so that a run can be repeated
    Then two faulty paths with seed 5 lose the same 200 of 1000 datagrams, give or take 40
    And a faulty path with a one-way cut loses all datagrams in one direction and none in the other
    And a faulty path with duplication 1 delivers 200 datagrams for 100

  Scenario: A cut stalls a stream without an end, and healing resumes it
    Given a faulty stream to an echo server
    When the path of the stream is cut while bytes are sent
    Then nothing arrives until the cut is healed, and then all bytes do
    And a reset of the path breaks the stream

  Scenario: A faulty network names the process behind a stream, so that partitions cut the right ones
    Then the label of a stream is that of the process that opened it

  Scenario: A scenario file with a misspelt key is refused
    Then the scenario files of the examples are read
    And a scenario with the key "flow" for "flows" or a section "evnt" is refused
