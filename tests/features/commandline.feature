@live
Feature: Commands run without pydantic, which the one-file binary does not contain

  Scenario Outline: The help of a command fails or shows no example
    When the command line runs with "<arguments> --help"
    Then it exits with 0 and prints "Example: cardamomtiller <arguments>"

    Examples:
      | arguments   |
      | version     |
      | run         |
      | check       |
      | cookie      |
      | status      |
      | flows       |
      | completion  |
      | report burn |

  Scenario: The check exits with 0 despite findings or with 2 without findings
    When the command line runs with "check --settings examples/instance.ini --lists examples/lists-vuniwai"
    Then it exits with 0 and prints "no findings"
    When the command line runs with "check --lists examples"
    Then it exits with 2 and prints "plans.ini: missing"

  Scenario: An invalid option ends with a traceback instead of an error message
    When the command line runs with "status --address nowhere"
    Then it exits with 2 and prints "not HOST:PORT"
    When the command line runs with "report burn --lists examples/lists-vuniwai --address 127.0.0.1:1 --samples many"
    Then it exits with 2 and prints "is not a number"
    When the command line runs with "report burn --lists examples/lists-vuniwai"
    Then it exits with 2 and prints "give either --address or --statsd"
    When the command line runs with "cookie zz --flow 00 --lists examples/lists-vuniwai"
    Then it exits with 2 and prints "not hex digits"
    When the command line runs with "run --settings examples/nothing.ini"
    Then it exits with 2 and prints "cannot be read"

  Scenario: Completion in bash lacks commands or options
    When the command line runs with "completion bash"
    Then it exits with 0 and prints "_CARDAMOMTILLER_COMPLETE=complete_bash"
    When bash completes "cardamomtiller rep"
    Then it exits with 0 and prints "report"
    When bash completes "cardamomtiller check --"
    Then it exits with 0 and prints "--lists"
