"""Steps for the comparison of flow placement policies under load patterns."""

from behave import then

from cardamomtiller.forwarding.routing.forwarder import Forwarder
from cardamomtiller.forwarding.routing.options import DEFAULT_FORWARDING
from tools.forwarding_replay import PATTERNS, Replay, RoundRobin, TwoChoices

LENGTH_MS = 12_000
SEEDS = (0, 1)
STEADY, PEAK, SHORT, SLOW = PATTERNS


class ReweightedForwarder(Forwarder):
    """Forwarder with some placement weights changed."""

    weights: dict[str, float] = {}

    def __init__(self, domain, packet_format, port, options, log, meters):
        """Initialise a forwarder with the weights of the class."""
        placement = options.placement._replace(**self.weights)
        reweighted = options._replace(placement=placement)
        super().__init__(domain, packet_format, port, reweighted, log, meters)


class FullReportWeight(ReweightedForwarder):
    """Forwarder that gives reported load the same weight as local load."""

    weights = {'others_busy_weight': 1.0}


class NoLatencyWeight(ReweightedForwarder):
    """Forwarder that ignores the latency of upstreams."""

    weights = {'latency_weight': 0.0}


def share_in_time(pattern, policy=Forwarder, has_load_reports=True):
    """Return the share of requests within the latency target, averaged over seeds."""
    replays = [Replay(pattern, policy, seed, has_load_reports) for seed in SEEDS]
    return sum(replay.run(LENGTH_MS) for replay in replays) / len(SEEDS)


def assert_better(pattern):
    """Check that more requests are in time than with either simpler policy."""
    share_by_load = share_in_time(pattern)
    assert share_by_load > share_in_time(pattern, TwoChoices, has_load_reports=False)
    assert share_by_load > share_in_time(pattern, RoundRobin, has_load_reports=False)


@then('more requests are in time at a demand peak than with simpler policies')
def step_peak(context):
    assert_better(PEAK)


@then('more requests are in time under steady load than with simpler policies')
def step_steady(context):
    assert_better(STEADY)


@then('more requests are in time with short flows than with simpler policies')
def step_short(context):
    assert_better(SHORT)


@then('more requests are in time with a slow upstream than with simpler policies')
def step_slow(context):
    assert_better(SLOW)


@then('more requests are in time with a slow upstream if the latency has a weight')
def step_latency(context):
    assert share_in_time(SLOW) > share_in_time(SLOW, NoLatencyWeight)


@then('more requests are in time under steady load with load reports than without')
def step_reports(context):
    assert share_in_time(STEADY) > share_in_time(STEADY, has_load_reports=False)


@then('fewer requests are in time if reported load has the full weight')
def step_full_report_weight(context):
    assert DEFAULT_FORWARDING.placement.others_busy_weight < 1
    assert share_in_time(SHORT) > share_in_time(SHORT, FullReportWeight)
