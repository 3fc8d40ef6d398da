"""Limit of the requests in progress that an instance adds to a pool of upstreams.

The limit answers a crowd of clients that arrives at once, as after an outage of all
instances: if every instance forwarded all opening packets, the queues of the upstreams
would overflow and the upstreams would reject requests that they could serve a moment
later.

The instances share the capacity of a pool without messages for single requests. Each
may use an equal part, and an equal part of what the load reports of the others show to
be free. Without recent reports the others are assumed to use their parts, not none.
"""

from collections.abc import Sequence
from math import inf, sqrt
from typing import NamedTuple

from cardamomtiller.forwarding.observation.capacity import CapacityTable
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import PathState, Reachability
from cardamomtiller.forwarding.placement.selection import min_latency_ms
from cardamomtiller.forwarding.published.upstreams import Upstream


class LimitOptions(NamedTuple):
    """
    Sizes of the concurrency limit.

    Attributes
    ----------
    requests_per_slot
        Requests in progress for each slot of a pool, of all instances together. More
        than one, because an instance observes the end of a request later than the
        upstream, which needs the next request at once.
    initial_window
        Limit of an instance that does not know the size of the fleet yet.
    unqueued_latencies
        Multiple of the lowest latency up to which an answer has not waited for a slot.
    counted_latencies
        Multiple of the lowest mean latency for which a request counts. One that takes
        longer has mostly been answered through another instance, to which the packets
        of its flow have moved.
    max_report_age_ms
        Age from which the load reported by the other instances is unknown.
    """

    requests_per_slot: float
    initial_window: int
    unqueued_latencies: float
    counted_latencies: float
    max_report_age_ms: float


class PoolUse(NamedTuple):
    """
    Capacity and use of a pool, in requests.

    Attributes
    ----------
    capacity
        Requests that the pool can take from all instances together.
    in_progress
        Requests of this instance.
    others_busy
        Requests of all other instances, None if there is no recent report.
    """

    capacity: float
    in_progress: int
    others_busy: float | None


class StartWindow:
    """
    Limit for the time in which the number of instances is unknown.

    As in the slow start of TCP Vegas (Brakmo and Peterson, 1995), each answer that did
    not wait for a slot enlarges the window by one, so that it doubles with every request
    time until queues build up. Each answer that misses its objective makes it smaller.
    """

    def __init__(self, options: LimitOptions) -> None:
        """Start with the initial window."""
        self._options = options
        self.size = options.initial_window
        self._lowest_ms = inf

    def record_answer(self, latency_ms: float, target_latency_ms: float) -> None:
        """Adapt the window to the latency of an answer."""
        self._lowest_ms = min(self._lowest_ms, latency_ms)
        if latency_ms <= self._lowest_ms * self._options.unqueued_latencies:
            self.size += 1
        elif latency_ms > target_latency_ms:
            self.size = max(self._options.initial_window, self.size - 1)


def instance_limit(use: PoolUse, instances: int) -> float:
    """
    Return how many requests this instance may have in progress at a pool.

    Parameters
    ----------
    use
        Capacity and use of the pool.
    instances
        Number of instances, including this one.

    Returns
    -------
    float
        At least 1, so that a pool with less capacity than instances is served too.
    """
    share = use.capacity / instances
    others_busy = use.others_busy
    if others_busy is None:
        others_busy = use.capacity - share
    unused = max(0, use.capacity - others_busy - use.in_progress)
    return max(1, share + unused / instances)


def fluctuation_allowance(use: PoolUse, instances: int) -> float:
    """
    Return by how much an instance may exceed its limit while the pool has unused room.

    An instance with a small part of the requests has, by chance, about one standard
    deviation more than its equal part in progress at once. Without the allowance they
    would wait although upstreams are idle.
    """
    if use.others_busy is None or use.capacity <= 0:
        return 0
    unused = max(0, use.capacity - use.others_busy - use.in_progress)
    return sqrt(use.capacity / instances) * unused / use.capacity


def measure_pool(
    pool: Sequence[Upstream],
    loads: LoadTable,
    reachability: Reachability,
    options: LimitOptions,
    now_ms: float,
    capacity: CapacityTable | None = None,
) -> PoolUse:
    """Return capacity and use of the upstreams of a pool that can be reached."""
    reachable = [
        upstream
        for upstream in pool
        if reachability.state(upstream.token) is not PathState.UNREACHABLE
    ]
    if not reachable:
        return PoolUse(0, 0, None)
    upstream_loads = [loads.get_or_create(upstream.token) for upstream in reachable]
    latency_ms = min_latency_ms(upstream_loads, now_ms)
    since_ms = (
        0 if latency_ms is None else now_ms - options.counted_latencies * latency_ms
    )
    service = reachable[0].entry.service
    in_progress = loads.count_started_after(service, since_ms)
    if capacity is not None and capacity.is_observed(service):
        requests = sum(
            capacity.limit(upstream, load, now_ms)
            for upstream, load in zip(reachable, upstream_loads, strict=True)
        )
    else:
        slots = sum(upstream.entry.slots for upstream in reachable)
        requests = slots * options.requests_per_slot
    reported_ms = loads.others_reported_ms
    is_reported = (
        reported_ms is not None and now_ms - reported_ms <= options.max_report_age_ms
    )
    return PoolUse(
        requests,
        in_progress,
        sum(load.others_busy for load in upstream_loads) if is_reported else None,
    )
