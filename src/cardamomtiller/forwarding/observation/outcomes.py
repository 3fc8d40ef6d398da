"""Upstreams that fail requests, detected by the size of their answers.

An upstream that fails a part of its requests at once looks better than the others: it
has few requests in progress, short latencies and a positive health check, and so it
attracts flows. An instance cannot read an answer, but the acknowledgements of a client
show how long it was, and an error message is much shorter than the usual answers of a
route. Short answers alone prove nothing; an upstream is avoided if it sends clearly more
of them than the others of its service.
"""

from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple

from cardamomtiller.forwarding.observation.load import UpstreamLoad
from cardamomtiller.forwarding.packet import RouteAddress


class OutcomeOptions(NamedTuple):
    """
    Limits of the detection.

    Attributes
    ----------
    short_share
        An answer is short if it has less than this share of the mean size of its route.
    size_gain
        Weight of the newest answer in the moving average of the sizes of a route.
    min_answers
        Added to the number of answers of an upstream, so that a few short ones do not
        count as a high share.
    deviations
        Number of standard deviations above the median share of the pool that is still
        taken as chance.
    min_variance
        Lower bound of the variance of one answer, for a pool without short answers.
    """

    short_share: float
    size_gain: float
    min_answers: float
    deviations: float
    min_variance: float


class AnswerSizes:
    """Mean size of the answers of each route."""

    def __init__(self, options: OutcomeOptions) -> None:
        """Start without any route."""
        self._options = options
        self._mean_bytes: dict[RouteAddress, float] = {}

    def is_short(self, route: RouteAddress, answer_bytes: int) -> bool:
        """Add the size of an answer, and return whether it is a short one."""
        mean_bytes = self._mean_bytes.get(route, answer_bytes)
        gain = self._options.size_gain
        self._mean_bytes[route] = mean_bytes + gain * (answer_bytes - mean_bytes)
        return answer_bytes < mean_bytes * self._options.short_share

    def would_be_short(self, route: RouteAddress, answer_bytes: int) -> bool:
        """Return whether an answer is a short one, without adding its size."""
        mean_bytes = self._mean_bytes.get(route, answer_bytes)
        return answer_bytes < mean_bytes * self._options.short_share

    def retain(self, routes: Iterable[RouteAddress]) -> None:
        """Delete all routes except the given ones."""
        kept = set(routes)
        for route in self._mean_bytes.keys() - kept:
            del self._mean_bytes[route]


def update_short_excess(pool: Iterable[UpstreamLoad], options: OutcomeOptions) -> None:
    """
    Set for each upstream by how much its share of short answers exceeds the others'.

    Parameters
    ----------
    pool
        Load estimates of all upstreams of a service. The median is the reference, so
        that it stays right while fewer than half of them fail.
    options
        Limits of the detection.
    """
    outcomes = [_count_answers(load, options) for load in pool]
    if not outcomes:
        return
    ordered = sorted(outcome.short_share for outcome in outcomes)
    usual_share = ordered[len(ordered) // 2]
    variance = max(usual_share * (1 - usual_share), options.min_variance)
    for outcome in outcomes:
        deviation = sqrt(variance / outcome.answers)
        chance = usual_share + options.deviations * deviation
        outcome.load.short_excess = max(0, outcome.short_share - chance)


class _Outcome(NamedTuple):
    load: UpstreamLoad
    answers: float
    short_share: float


def _count_answers(load: UpstreamLoad, options: OutcomeOptions) -> _Outcome:
    answers = load.answers + load.others_answers + options.min_answers
    short = load.short_answers + load.others_short_answers
    return _Outcome(load, answers, short / answers)


DEFAULT_OUTCOMES = OutcomeOptions(
    short_share=0.4,
    size_gain=0.05,
    min_answers=1.0,
    deviations=1.5,
    min_variance=0.02,
)
