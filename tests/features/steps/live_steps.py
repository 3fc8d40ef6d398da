"""Steps for deployments of real processes and for the demonstration."""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from tools.plan import parse_plan
from tools.processes import ROOT
from tools.scenario import print_outcome, run_plan

BASE_PLAN_PATH = Path(__file__).resolve().parents[1] / 'live.ini'
# Figures that count violated invariants or faults of the test run itself.
ZERO_FIGURES = (
    'flows_broken',
    'flows_stuck',
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
MIN_DONE_SHARE = 0.5


def plan_overrides(context):
    if not hasattr(context, 'live_overrides'):
        context.live_overrides = {}
    return context.live_overrides


@given('the live deployment has a faulty network')
def use_faulty_network(context):
    plan_overrides(context)['network'] = 'proxied'


@given('the live deployment runs for {duration_s:d} s')
def set_duration(context, duration_s):
    plan_overrides(context)['duration_s'] = str(duration_s)


@when('a live deployment runs with these events')
def run_events(context):
    plan_text = BASE_PLAN_PATH.read_text()
    for number, row in enumerate(context.table):
        plan_text += (
            f'\n[event {number}]\nat_s = {row["at_s"]}\naction = {row["action"]}\n'
        )
    plan = parse_plan(plan_text, str(BASE_PLAN_PATH), plan_overrides(context))
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        context.outcome = run_plan(plan, Path(folder))
    print_outcome(context.outcome)


@then('every invariant holds')
def check_invariants(context):
    figures = context.outcome.figures
    violated = {name: figures[name] for name in ZERO_FIGURES if figures[name]}
    assert not violated, (violated, context.outcome.faults[:10])
    assert not context.outcome.log_errors, context.outcome.log_errors
    # If few requests were done, the other checks prove nothing.
    assert figures['pushes'] > 0
    assert figures['requests_done'] > MIN_DONE_SHARE * figures['requests']


@then('flows were resumed')
def check_resumed(context):
    assert context.outcome.figures['flows_resumed'] > 0


@then('no upstream received a new flow more than {limit_s:d} s after its drain began')
def check_drain(context, limit_s):
    last_open_ms = context.outcome.figures['last_new_flow_after_drain_ms']
    assert last_open_ms <= limit_s * 1000, last_open_ms


@then('no flow was opened on two upstreams')
def check_one_upstream(context):
    assert not context.outcome.figures['flows_on_two_upstreams']


@then('no request was interrupted')
def check_not_interrupted(context):
    assert not context.outcome.figures['requests_unknown'], context.outcome.refusals


@then('the change was in effect on every instance within {limit_s:d} s')
def check_in_effect(context, limit_s):
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


@then('its exit code is {code:d} and it takes less than {limit_s:d} s')
def check_demonstration(context, code, limit_s):
    assert context.demo.returncode == code, context.demo.stdout
    assert context.demo_s < limit_s, context.demo_s
