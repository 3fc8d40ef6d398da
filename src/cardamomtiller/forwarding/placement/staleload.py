"""Shares of upstreams in new flows, where load reports say little about the moment.

A request takes 5 to 50 ms and a load report is 0.1 to 2 s old, so a report tells the mean
load of an upstream and not how many requests wait there now. If every instance selects
the least loaded upstream of its last report, all of them select the same one until the
next report. An instance that carries a large part of the load knows the moment from its
own requests; one of many instances does not.

Such an instance gives each upstream a share of its flows instead (weighted deficit round
robin, so that the order is even at short intervals too). The share follows the speed of
the upstream, which no entry states: it is proportional to the inverse mean latency that
the instance observes, times a correction. The correction grows with every report in which
the upstream has less load per slot than the others, and shrinks in the opposite case.
Errors of the latencies are independent on each instance and cancel out; errors that all
instances have in common are seen in the reports and corrected.
"""

from collections.abc import Sequence
from math import fsum
from typing import NamedTuple

from cardamomtiller.forwarding.observation.load import LoadTable, UpstreamLoad
from cardamomtiller.forwarding.published.upstreams import Upstream

# A moving average with gain g is as accurate as a mean of (2 - g) / g samples: 19 for
# the gain of the mean latency.
MAX_LATENCY_ANSWERS = 19.0
# Loads per slot below this are not told apart: a report has units of 1/64 request.
MIN_BUSY_PER_SLOT = 0.02
MIN_LATENCY_MS = 0.1
HASH_VALUES = 1 << 32
HASH_MASK = HASH_VALUES - 1
# Shifts and multipliers of the finalizer of MurmurHash3. Tokens are checksums of similar
# names, so without it they differ in a few bits only.
MIX_STEPS = ((16, 0x85EBCA6B), (13, 0xC2B2AE35), (16, 1))


class SpreadOptions(NamedTuple):
    """
    Parameters of the shares.

    Attributes
    ----------
    max_own_share
        Share of all requests up to which an instance uses shares. Above it, its own
        requests in progress say enough.
    tolerance
        Difference in cost up to which upstreams get flows by their shares.
    prior_answers
        Weight of the mean latency of all candidates, in answers, in the estimate for
        one of them.
    correction_gain
        Exponent with which the load ratio of one report enters the correction.
    min_correction_interval_ms
        Time between two corrections. An aggregator gets many reports in a second.
    max_correction
        Bound of the correction and of its inverse.
    max_credit
        Flows that an upstream can be owed, so that one that was not eligible for a while
        is not flooded afterwards.
    subset_size
        Number of upstreams that an instance prefers. With fewer, its flows follow the
        shares at shorter intervals, and its latencies are newer.
    rotating
        Candidates beyond the preferred ones, different for each flow. They reach
        upstreams that no instance prefers.
    spill_cost
        Cost from which an upstream counts as busy. If all candidates are busy, the whole
        pool is compared.
    """

    max_own_share: float
    tolerance: float
    prior_answers: float
    correction_gain: float
    min_correction_interval_ms: float
    max_correction: float
    max_credit: float
    subset_size: int
    rotating: int
    spill_cost: float


class Candidate(NamedTuple):
    """An upstream with its load estimate and the cost of placing a flow there."""

    upstream: Upstream
    load: UpstreamLoad
    cost: float


def uses_shares(loads: LoadTable, options: SpreadOptions) -> bool:
    """Return whether this instance places flows by shares."""
    return loads.own_share < options.max_own_share


def choose_by_share(
    candidates: Sequence[Candidate],
    loads: LoadTable,
    options: SpreadOptions,
    flow_hash: int,
    now_ms: float,
) -> Candidate:
    """
    Return the upstream that is owed most flows, and charge it with one.

    Parameters
    ----------
    candidates
        All candidates. Those that cost over `SpreadOptions.tolerance` more than the
        cheapest one get no flow.
    loads
        Load table that the load estimates are from.
    options
        Parameters of the shares.
    flow_hash
        Hash of the flow; seeds the initial credit of each candidate.
    now_ms
        Current time.
    """
    limit = min(candidate.cost for candidate in candidates) + options.tolerance
    shortlist = [candidate for candidate in candidates if candidate.cost <= limit]
    # Those that cost too much now are corrected too: they are the overloaded ones.
    _correct(candidates, loads.others_reported_ms, options, now_ms)
    usual_ms = _usual_latency_ms(candidates)
    weights = [_weight(candidate, usual_ms, options) for candidate in shortlist]
    total = fsum(weights)
    for candidate, weight in zip(shortlist, weights, strict=True):
        load = candidate.load
        if load.credit is None:
            load.credit = mix(flow_hash ^ candidate.upstream.token) / HASH_VALUES
        load.credit = min(options.max_credit, load.credit + weight / total)
    best = max(shortlist, key=lambda choice: choice.load.credit or 0)
    best.load.credit = (best.load.credit or 0) - 1
    return best


def _correct(
    candidates: Sequence[Candidate],
    reported_ms: float | None,
    options: SpreadOptions,
    now_ms: float,
) -> None:
    """Update the corrections of the candidates with a report that is new to them."""
    if reported_ms is None:
        return
    outdated = [
        candidate.load.corrected_ms < reported_ms
        and now_ms - candidate.load.corrected_ms >= options.min_correction_interval_ms
        for candidate in candidates
    ]
    if not any(outdated):
        return
    busy = [_busy_per_slot(candidate) for candidate in candidates]
    mean_busy = max(MIN_BUSY_PER_SLOT, fsum(busy) / len(busy))
    for candidate, is_outdated, own_busy in zip(
        candidates, outdated, busy, strict=True
    ):
        if not is_outdated:
            continue
        load = candidate.load
        load.corrected_ms = now_ms
        ratio = mean_busy / max(MIN_BUSY_PER_SLOT, own_busy)
        corrected = load.correction * ratio**options.correction_gain
        load.correction = min(
            options.max_correction, max(1 / options.max_correction, corrected)
        )


def _busy_per_slot(candidate: Candidate) -> float:
    load = candidate.load
    return (load.mean_busy + load.others_busy) / candidate.upstream.entry.slots


def _usual_latency_ms(candidates: Sequence[Candidate]) -> float:
    known = [
        candidate.load.mean_latency_ms
        for candidate in candidates
        if candidate.load.mean_latency_ms is not None
    ]
    return max(MIN_LATENCY_MS, fsum(known) / len(known)) if known else MIN_LATENCY_MS


def _weight(candidate: Candidate, usual_ms: float, options: SpreadOptions) -> float:
    """Return the share of an upstream, relative to the others."""
    load = candidate.load
    mean_ms = usual_ms if load.mean_latency_ms is None else load.mean_latency_ms
    answers = min(load.answers, MAX_LATENCY_ANSWERS)
    prior = options.prior_answers
    latency_ms = (answers * mean_ms + prior * usual_ms) / (answers + prior)
    return candidate.upstream.entry.slots * load.correction / latency_ms


def mix(value: int) -> int:
    """Return a 32-bit hash of a 32-bit number; different for different numbers."""
    for shift, multiplier in MIX_STEPS:
        value = (value ^ value >> shift) * multiplier & HASH_MASK
    return value
