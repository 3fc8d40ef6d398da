"""Number of requests that each upstream can usefully have in progress.

An upstream states how many requests it executes at once, but not how many more it queues
before it answers that it is full, nor how fast it is. Both are observed. An answer that
is short and quick, of an upstream that is busy, says that it was full: the limit falls at
once and recovers with time. By Little's law an upstream completes within the latency
objective as many requests as it has completions per second times that objective; more of
them in progress only wait.
"""

from collections.abc import Mapping
from math import exp, inf
from typing import NamedTuple

from cardamomtiller.forwarding.observation.load import ANSWER_DECAY_MS, UpstreamLoad
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.ids import ServiceName


class CapacityOptions(NamedTuple):
    """
    Bounds of the observed limits.

    Attributes
    ----------
    requests_per_slot
        Limit for each slot of an upstream without observations, and the highest limit.
    quick_share
        An answer is quick if it took less than this share of the mean latency.
    busy_share
        An upstream is busy if it has at least this share of its slots in progress.
    fall_factor
        Factor of the limit after a full answer; never below the slots of the upstream.
    recovery_ms
        Time in which a limit recovers by one request for each slot.
    loaded_share
        Completions show the capacity of an upstream if its mean number of requests in
        progress is at least this share of its slots.
    max_reported_answers
        Number of answers from which a load report may contain fewer than there were.
    """

    requests_per_slot: float
    quick_share: float
    busy_share: float
    fall_factor: float
    recovery_ms: float
    loaded_share: float
    max_reported_answers: float


class Fall(NamedTuple):
    """Limit of an upstream after a full answer, and the time of that answer."""

    limit: float
    since_ms: float


class CapacityTable:
    """
    Observed limits of the upstreams of some services.

    Attributes
    ----------
    targets_ms
        Latency objective of each service whose upstreams are observed.
    """

    def __init__(self, options: CapacityOptions) -> None:
        """Start without any service and without observations."""
        self._options = options
        self.targets_ms: Mapping[ServiceName, float] = {}
        self._falls: dict[Token, Fall] = {}
        self._started_ms: float | None = None

    def is_observed(self, service: ServiceName) -> bool:
        """Return whether the limits of a service's upstreams are observed."""
        return service in self.targets_ms

    @property
    def has_falls(self) -> bool:
        """Whether the limit of some upstream has fallen and not recovered."""
        return bool(self._falls)

    def may_be_full(
        self, upstream: Upstream, load: UpstreamLoad, latency_ms: float, now_ms: float
    ) -> bool:
        """
        Return whether an answer says that an upstream is full, if it is short too.

        Parameters
        ----------
        upstream, load
            The upstream, and its load including the answered request.
        latency_ms
            Time from the request to the first part of the answer.
        now_ms
            Current time.
        """
        if not self.is_observed(upstream.entry.service):
            return False
        in_progress = load.in_progress + load.others_busy
        if in_progress < upstream.entry.slots * self._options.busy_share:
            return False
        mean_ms = load.latency_ms(now_ms)
        return mean_ms is None or latency_ms < mean_ms * self._options.quick_share

    def record_full(
        self, upstream: Upstream, load: UpstreamLoad, now_ms: float
    ) -> float:
        """Lower the limit of an upstream after a full answer, and return it."""
        slots = upstream.entry.slots
        limit = self.limit(upstream, load, now_ms) * self._options.fall_factor
        fallen = max(float(slots), limit)
        self._falls[upstream.token] = Fall(fallen, now_ms)
        return fallen

    def limit(self, upstream: Upstream, load: UpstreamLoad, now_ms: float) -> float:
        """Return how many requests of all instances an upstream can usefully have."""
        slots = upstream.entry.slots
        limit = slots * self._options.requests_per_slot
        fall = self._falls.get(upstream.token)
        if fall is not None:
            periods = (now_ms - fall.since_ms) / self._options.recovery_ms
            limit = min(limit, fall.limit + periods * slots)
        return max(slots, min(limit, self._completed_in_time(upstream, load, now_ms)))

    def _completed_in_time(
        self, upstream: Upstream, load: UpstreamLoad, now_ms: float
    ) -> float:
        """
        Return how many requests an upstream completes within the latency objective.

        Infinite if the completions do not show the capacity: the upstream has too few
        requests, or more answers than a report can contain.
        """
        in_progress = load.mean_busy + load.others_busy
        if (
            in_progress < upstream.entry.slots * self._options.loaded_share
            or load.others_answers >= self._options.max_reported_answers
            or self._started_ms is None
            or now_ms <= self._started_ms
        ):
            return inf
        # Just after the start the decaying counts are lower than in a steady state.
        counted_ms = ANSWER_DECAY_MS * (
            1 - exp((self._started_ms - now_ms) / ANSWER_DECAY_MS)
        )
        target_ms = self.targets_ms.get(upstream.entry.service, inf)
        return (load.answers + load.others_answers) / counted_ms * target_ms

    def expire(self, now_ms: float) -> None:
        """Forget the full answers whose effect has ended; the first call starts the count."""
        if self._started_ms is None:
            self._started_ms = now_ms
        longest_ms = self._options.recovery_ms * self._options.requests_per_slot
        for token, fall in tuple(self._falls.items()):
            if now_ms - fall.since_ms > longest_ms:
                del self._falls[token]


DEFAULT_CAPACITY = CapacityOptions(
    requests_per_slot=2.0,
    quick_share=0.5,
    busy_share=0.5,
    fall_factor=0.5,
    recovery_ms=1000.0,
    loaded_share=0.8,
    # A report contains at most 63.75, in units of a quarter.
    max_reported_answers=63.0,
)
