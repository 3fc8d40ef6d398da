Feature: The stand-ins behave like the systems they replace

  Scenario: Only a higher generation is granted a flow, so that a former home is fenced
    Given a stand-in upstream with 2 slots
    When its link opens a flow under generations 1, 1, 3 and 2
    Then the stand-in grants, refuses, grants and refuses the flow
    And an unknown flow under generation 2 is refused as unknown
    And a request under generation 2 is shed as stale and never run
    And a request of an unknown flow is shed and never run

  Scenario: A request is shed when all slots are busy, and a cancelled run frees its slot at once
    Given a stand-in upstream with 1 slots
    When its link sends a long request, another, cancels the first and sends a third
    Then the second is shed, the first is not answered and the third is answered

  Scenario: A second run of the same request is counted as a double run
    Given a stand-in upstream with 2 slots
    When its link sends the same request twice
    Then the stand-in reports 1 double run

  Scenario: A request for another service is counted as misrouted
    Given a stand-in upstream with 2 slots
    When its link sends a request that names another service
    Then the stand-in reports 1 misrouted request

  Scenario: A push is resent over the newest link of the flow until it is acknowledged
    Given a stand-in upstream with 2 slots
    When its link opens a flow and does not acknowledge a push
    Then the push is resent on the link that took over the flow, until it is acknowledged

  Scenario: The list of many flows is split, so that no frame exceeds the size limit
    Given a stand-in upstream with 2 slots
    When 450 flows are opened on the stand-in
    Then a new link receives 3 flow lists with 450 flows, and only the last is marked

  Scenario: A run whose link breaks finishes, and its answer is dropped
    Given a stand-in upstream with 2 slots
    When the link of the stand-in breaks during a run
    Then the run finishes and 1 answer is dropped

  Scenario: The fabric spreads the datagrams of a caller over the listed instances
    Given a stand-in fabric over 3 echoing instances
    When a caller sends 90 datagrams and the list then shrinks to 1 instance
    Then each instance received datagrams, all are echoed, and later datagrams reach only the listed instance

  Scenario: The seed determines which datagrams are lost, so that a run can be repeated
    Then two faulty paths with seed 5 lose the same 200 of 1000 datagrams, within a tolerance of 40
    And a faulty path with a one-way cut loses all datagrams in one direction and none in the other
    And a faulty path with duplication 1 delivers 200 datagrams for 100

  Scenario: A cut stalls a stream without closing it, and its removal resumes the stream
    Given a faulty stream to an echo server
    When the path of the stream is cut while bytes are sent
    Then no byte arrives until the cut is removed, and then all bytes arrive
    And a reset of the path aborts the stream

  Scenario: A faulty network labels a stream by its process, so that a partition cuts the right streams
    Then the label of a stream is the label of the process that opened it

  Scenario: A scenario file with a misspelt key is rejected
    Then the example scenario files are valid
    And a scenario with the key "flow" for "flows" or a section "evnt" is rejected
