"""Steps for the command line, which runs in a process without pydantic."""

import os
import shlex
import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 60
PROGRAM = """
import sys
sys.modules['pydantic'] = sys.modules['pydantic_core'] = None
from cardamomtiller.cli import app
app(prog_name='cardamomtiller')
"""


def run_program(context, arguments, **variables):
    """Run the command line and store its result in the context."""
    environment = {**os.environ, 'PYTHONPATH': str(ROOT / 'src'), **variables}
    context.result = subprocess.run(
        [sys.executable, '-c', PROGRAM, *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@when('the command line runs with "{arguments}"')
def run_command_line(context, arguments):
    run_program(context, shlex.split(arguments))


@when('bash completes "{line}"')
def run_completion(context, line):
    run_program(
        context,
        (),
        _CARDAMOMTILLER_COMPLETE='complete_bash',
        COMP_WORDS=line,
        COMP_CWORD=str(len(line.split()) - 1),
    )


@then('it exits with {code:d} and prints "{text}"')
def check_result(context, code, text):
    result = context.result
    output = result.stdout + result.stderr
    assert result.returncode == code, output
    assert text in ' '.join(output.split()), output
    assert 'Traceback' not in output, output
