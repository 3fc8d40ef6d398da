"""Steps that run a small deployment of real processes."""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from tools.plan import parse_plan
from tools.processes import ROOT
from tools.scenario import print_outcome, run_plan

BASE = Path(__file__).resolve().parents[1] / 'live.ini'
# Figures that count violated invariants or faults of the experiment itself.
ZERO = (
    'flows_broken',
    'flows_stuck',
    'flows_on_two_upstreams',
    'misrouted',
    'run_twice',
    'false_not_run',
    'done_never_run',
    'stale_reads',
    'wrong_answers',
    'foreign_pushes',
    'unclean_stops',
    'caller_errors',
    'event_errors',
    'requests_without_end',
)
LEAST_DONE_SHARE = 0.5


def changes_of(context):
    if not hasattr(context, 'live_changes'):
        context.live_changes = {}
    return context.live_changes


@given('the live deployment has a faulty network')
def use_faulty_network(context):
    changes_of(context)['network'] = 'proxied'


@given('the live deployment runs for {duration_s:d} s')
def set_duration(context, duration_s):
    changes_of(context)['duration_s'] = str(duration_s)


@when('a live deployment runs through these events')
def run_events(context):
    text = BASE.read_text()
    for number, row in enumerate(context.table):
        text += f'\n[event {number}]\nat_s = {row["at_s"]}\naction = {row["action"]}\n'
    plan = parse_plan(text, str(BASE), changes_of(context))
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        context.outcome = run_plan(plan, Path(folder))
    print_outcome(context.outcome)


@then('every invariant holds')
def check_invariants(context):
    figures = context.outcome.figures
    violated = {name: figures[name] for name in ZERO if figures[name]}
    assert not violated, (violated, context.outcome.faults[:10])
    assert not context.outcome.log_errors, context.outcome.log_errors
    # An experiment in which hardly anything ran shows nothing.
    assert figures['pushes'] > 0
    assert figures['requests_done'] > LEAST_DONE_SHARE * figures['requests']


@then('flows were resumed')
def check_resumed(context):
    assert context.outcome.figures['flows_resumed'] > 0


@then('no upstream got a new flow later than {limit_s:d} s after its drain began')
def check_drain(context, limit_s):
    late_ms = context.outcome.figures['last_new_flow_after_drain_ms']
    assert late_ms <= limit_s * 1000, late_ms


@then('no request was cut off')
def check_not_cut_off(context):
    assert not context.outcome.figures['requests_unknown'], context.outcome.refusals


@then('the change was in force after {limit_s:d} s at the latest')
def check_in_force(context, limit_s):
    assert not context.outcome.figures['not_in_force'], context.outcome.faults
    assert context.outcome.marks['config_in_force_s'] <= limit_s


@when('the demonstration runs')
def run_demonstration(context):
    begin_s = time.monotonic()
    context.demo = subprocess.run(
        [sys.executable, '-m', 'tools.demo'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=120,
    )
    context.demo_s = time.monotonic() - begin_s
    print(context.demo.stdout)


@then('its exit code is {code:d} and it took less than {limit_s:d} s')
def check_demonstration(context, code, limit_s):
    assert context.demo.returncode == code, context.demo.stdout
    assert context.demo_s < limit_s, context.demo_s
