"""Steps for randomised runs of the data path."""

from behave import then, when
from hypothesis import HealthCheck, Phase, strategies
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from loguru import logger

from cardamomtiller.client import Status
from tests.simulation import EVENTS, simulate
from tools.fuzz import CALLER_COUNT, format_failure, repeat_command

MAX_SEED = 2**32 - 1
SEEDS = strategies.integers(min_value=0, max_value=MAX_SEED)
EVENT_SETS = strategies.sets(strategies.sampled_from(EVENTS), min_size=1)


def _run(seed, seconds, events):
    """Run the simulation; return its report and the command that repeats it."""
    logger.disable('cardamomtiller')
    report = simulate(seed, seconds, CALLER_COUNT, events)
    return report, repeat_command(seed, seconds, CALLER_COUNT, events)


def _check(report, command):
    assert not report.faults(), format_failure(report, command)


@when('the data path runs for {seconds:d} s with seeds {seeds} and no events')
def run_without_events(context, seconds, seeds):
    context.runs = [_run(int(seed), seconds, ()) for seed in seeds.split(',')]


@when('the data path runs for {seconds:d} s with seeds {seeds} and events {names}')
def run_with_events(context, seconds, seeds, names):
    events = EVENTS if names == 'all' else tuple(names.split(','))
    context.runs = [_run(int(seed), seconds, events) for seed in seeds.split(',')]
    for report, command in context.runs:
        effective_events = [row for row in report.events if 'nothing' not in row]
        assert effective_events, f'no event had an effect: {command}'


@then('no guarantee is violated in any run')
def check_no_faults(context):
    for report, command in context.runs:
        assert report.outcomes, f'no request was sent: {command}'
        _check(report, command)


@then('every request of every run is done')
def check_all_done(context):
    for report, command in context.runs:
        done = report.count(Status.DONE)
        assert done == len(report.outcomes), f'{done} requests done: {command}'


@then('no request of any run has an unknown outcome')
def check_none_unknown(context):
    for report, command in context.runs:
        unknown = report.count(Status.UNKNOWN)
        assert not unknown, f'{unknown} requests with unknown outcome: {command}'


@then('no guarantee is violated in {count:d} random runs of {seconds:d} s')
def check_drawn_runs(context, count, seconds):
    # No shrinking, which takes many runs: the printed command repeats the failure.
    @hypothesis_settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=tuple(HealthCheck),
    )
    @hypothesis_given(seed=SEEDS, names=EVENT_SETS)
    def check(seed, names):
        events = tuple(name for name in EVENTS if name in names)
        _check(*_run(seed, seconds, events))

    check()


@then('a run with all events and its repetition give the same report')
def check_repetition(context):
    first, command = _run(1, 8, EVENTS)
    assert _run(1, 8, EVENTS)[0] == first, command
