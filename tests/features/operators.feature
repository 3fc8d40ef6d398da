Feature: Operators get all findings at once, readable status and correct reports

  Scenario Outline: The example lists fail the check, so operators cannot start from them
    Then the example lists "<folder>" pass the check and have <instances> instances and <upstreams> upstreams

    Examples:
      | folder        | instances | upstreams |
      | lists-vuniwai | 9         | 11        |
      | lists-saomai  | 9         | 10        |
      | first/lists   | 1         | 1         |

  Scenario: The example settings fail the check or differ from the schema
    Then the example settings pass the check with "lists-vuniwai"
    And the example settings and the tables of docs/lists.md equal what the schema generates
    And the example settings with all keys uncommented equal the defaults

  Scenario: The check reports only some of the findings in settings and lists
    Given a copy of the example lists "lists-vuniwai"
    And in list "plans" the text "rate_per_s = 20" becomes "rate_per_s = -1"
    And in list "keys" the text "state = accepted" becomes "state = current"
    And the list "customers" is removed
    And settings with an unknown key
    Then the check finds exactly
      | source        | section    | key        |
      | instance.ini  | flow       | colour     |
      | customers.ini |            |            |
      | keys.ini      |            |            |
      | plans.ini     | plan small | rate_per_s |

  Scenario: Contradictions between lists are missed or reported at another list or key
    Given a copy of the example lists "lists-vuniwai"
    And in list "customers" the text "plan = plain-tcp" becomes "plan = gone"
    And in list "services" the text "stream_customer = walk-in" becomes "stream_customer ="
    And in list "upstreams.nadi-a" the text "stream_address = 127.1.3.2:7501" becomes "stream_address ="
    And in list "upstreams.nadi-b" the text "address = 127.1.2.2:7500" becomes "address = 127.1.2.1:7500"
    And in list "upstreams.lautoka-a" the text "region = viti-west" becomes "region = elsewhere"
    Then the check finds exactly
      | source                  | section                | key             |
      | customers.ini           | customer walk-in       | plan            |
      | services.ini            | service patternhouse   | stream_customer |
      | upstreams.nadi-a.ini    | upstream patternhouse-2 | stream_address |
      | upstreams.nadi-b.ini    | upstream orderdesk-2   | address         |
      | upstreams.lautoka-a.ini | domain                 | region          |

  Scenario: Settings that differ from the published instance pass the check
    Given a copy of the example lists "lists-vuniwai"
    And settings that differ from the published instance
    Then the check finds exactly
      | source       | section  | key                |
      | instance.ini | flow     | flow_idle_ms       |
      | instance.ini | instance | failure_domain     |
      | instance.ini | instance | peer_address       |
      | instance.ini | entrance | stream_addresses   |

  Scenario: The status endpoint answers invalid requests, stops or blocks other tasks
    Given a status endpoint
    Then "/status", "/flows" and "/counters" are read as JSON
    And these request lines are refused
      | line                 | code |
      | GET /nothing HTTP/1.1 | 404 |
      | POST /status HTTP/1.1 | 405 |
      | hello                | 400  |
    And a view that raises an error is answered as "500" and the next request works
    And other tasks run at least 40 times while 5000 flows are sent
    And a client that sends nothing does not delay the next client
    And an address without endpoint gives a one-line error

  Scenario: Burn rates, budget or alerts differ from values calculated by hand
    Given an objective of 0.99 for service "desk" class "urgent"
    And counters sampled from two instances
      | time_s | source | good | bad |
      | 0      | a      | 1000 | 0   |
      | 0      | b      | 500  | 0   |
      | 3000   | a      | 1800 | 200 |
      | 3000   | b      | 1000 | 0   |
      | 3500   | a      | 2600 | 400 |
      | 3500   | b      | 50   | 0   |
    When the burn is reported with windows of 300 s and 3600 s
    # short: 800 + 50 good, 200 bad; long: 800 + 500 + 800 + 50 good, 400 bad;
    # budget: 3650 good, 400 bad. Instance b was restarted before 3500 s.
    Then the short burn is 19.047619 and the long burn is 15.686275
    And the budget left is -8.876543
    And the alert is "fast"

  Scenario Outline: An alert is raised although one window is below its threshold
    Given an objective of 0.99 for service "desk" class "urgent"
    And statsd lines with <old_bad> of 1000 bad in the first minute and <new_bad> of 1000 bad an hour later
    When the burn is reported with windows of 300 s and 7200 s
    Then the short burn is <short> and the long burn is <long>
    And the alert is "<alert>"

    Examples:
      | old_bad | new_bad | short | long | alert |
      | 144     | 144     | 14.4  | 14.4 | fast  |
      | 143     | 144     | 14.4  | 14.35 | slow |
      | 288     | 59      | 5.9   | 17.35 | none |
      | 60      | 60      | 6.0   | 6.0  | slow  |
      | 0       | 110     | 11.0  | 5.5  | none  |

  Scenario: Names with dots or lines that are not counters change the report
    Given an objective of 0.9 for service "desk.north" class "bulk"
    Then these statsd lines count 30 good and 10 bad events
      """
      5 cardamomtiller.sli.desk.north.a.b.bulk.good:10|c
      cardamomtiller.sli.desk.north.a.b.bulk.good:2|c|@0.1
      cardamomtiller.sli.desk.north.a.b.bulk.bad:10|c
      cardamomtiller.sli.desk.north.a.b.urgent.bad:7|c
      cardamomtiller.sli.other.a.b.bulk.bad:7|c
      cardamomtiller.sli.desk.north.a.b.bulk.good:9|g
      cardamomtiller.relay.finished:4|c
      not a line
      """

  Scenario: The HTML report loads resources, renders names as markup or lacks a plot
    Given an objective of 0.99 for service "desk" class "urgent"
    And statsd lines of a customer named "<b>&"
    When the burn is reported with windows of 300 s and 3600 s
    Then the page has 1 plot and loads no other resource
    And the customer name is shown as text and not as markup

  Scenario: A cookie is explained wrongly or without the reason why it is not valid
    Given a cookie sealed with key 2 of the example lists
    Then it is explained as valid with key 2 "current" and service "orderdesk"
    And altered copies of the cookie are explained as not valid
      | change         | reason            |
      | another flow   | does not match    |
      | another key id | not published     |
      | cut short      | cannot be decoded |

  Scenario: Braces or errors in a message make a JSON log line invalid
    Then a logged message "{x} [y]" with an error is one JSON line with the fields time, level, module, message, instance and error
    And a message below the configured level is not written
