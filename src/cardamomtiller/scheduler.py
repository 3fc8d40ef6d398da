"""Queue in front of the slots of one upstream."""

from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Result

from cardamomtiller.identity import CustomerId, Outcome, RequestKey, ServiceClass
from cardamomtiller.settings_pb2 import QueueSettings
from cardamomtiller.wire_pb2 import (
    Reason,
)

DEFAULT_RUN_MS = 50
SMALLEST_RUN_MS = 1
# An estimate follows a change of the running time within about ten runs.
SAMPLES_AVERAGED = 10
ESTIMATES_KEPT = 10_000
# Sizes within a factor of four share an estimate.
BITS_PER_BAND = 2
# Slot time per unit of weight by which urgent work may run ahead of the fair
# share of its customer. Beyond it the label has no effect.
URGENT_LEAD_MS = 500
# Time constant of the measured load of each class.
LOAD_AVERAGE_MS = 2000
# Long work beyond its guaranteed share leaves the other slots at most this busy
# with short work, because waiting grows steeply with the load of one slot.
LARGEST_SHORT_LOAD = 0.3
# Slots come back one at a time after a shed, each later after repeated sheds.
FIRST_SHED_HOLD_MS = 100
LARGEST_SHED_HOLD_MS = 1600
SMALLEST_RETRY_AFTER_MS = 50

_CLASSES = (ServiceClass.URGENT, ServiceClass.NORMAL, ServiceClass.BULK)


@dataclass(frozen=True, slots=True)
class Options:
    """Limits and weights of a queue."""

    long_run_ms: float
    long_bytes: int
    longest_wait_ms: float
    urgent_weight: float
    normal_weight: float
    bulk_weight: float

    @classmethod
    def from_settings(cls, settings: QueueSettings) -> 'Options':
        """Take the checked settings."""
        return cls(
            long_run_ms=settings.long_run_ms,
            long_bytes=settings.long_bytes,
            longest_wait_ms=settings.longest_wait_ms,
            urgent_weight=settings.urgent_weight,
            normal_weight=settings.normal_weight,
            bulk_weight=settings.bulk_weight,
        )

    def shares(self) -> dict[ServiceClass, float]:
        """Return the guaranteed share of each class; they add up to 1."""
        weights = (self.urgent_weight, self.normal_weight, self.bulk_weight)
        total = sum(weights)
        return {
            name: weight / total for name, weight in zip(_CLASSES, weights, strict=True)
        }


@dataclass(frozen=True, slots=True)
class Work:
    """
    A request that waits for a slot.

    ``deadline_ms`` is a monotonic time. ``weight`` is that of the customer's
    plan. The scheduler only carries ``payload``.
    """

    request: RequestKey
    customer: CustomerId
    service_class: ServiceClass
    size_bytes: int
    deadline_ms: float
    weight: float
    is_idempotent: bool
    payload: object = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why work was not accepted and when to try again."""

    reason: 'Reason.ValueType'
    retry_after_ms: float


class Scheduler:
    """Decide which work of one upstream runs when."""

    def __init__(self, options: Options, slots: int, now_ms: float) -> None:
        """Start empty with the published number of slots."""

    def submit(self, work: Work, now_ms: float) -> Result[None, Refusal]:
        """Queue work, or refuse it at once if it cannot start in time."""
        raise NotImplementedError

    def requeue(self, work: Work, not_before_ms: float) -> None:
        """Queue work again that the upstream shed without running it."""
        raise NotImplementedError

    def start(self, now_ms: float) -> Iterator[Work]:
        """Iterate over the work to send now; each item occupies a slot."""
        raise NotImplementedError

    def expire(self, now_ms: float) -> Iterator[Work]:
        """Iterate over queued work that can no longer finish in time."""
        raise NotImplementedError

    def finish(self, request: RequestKey, outcome: Outcome, now_ms: float) -> None:
        """Free the slot of running work; unknown requests are ignored."""
        raise NotImplementedError

    def cancel(self, request: RequestKey, now_ms: float) -> Work | None:
        """
        Withdraw a request.

        Returns
        -------
        Work or None
            Running work, which the caller cancels at the upstream and finishes
            when the upstream has answered; None if the work was queued (it is
            now gone and never runs) or is unknown.
        """
        raise NotImplementedError

    def set_slots(self, slots: int, now_ms: float) -> None:
        """Change the number of slots; running work is not affected."""
        raise NotImplementedError

    def queued(self) -> int:
        """Return the number of requests that wait."""
        raise NotImplementedError

    def running(self) -> int:
        """Return the number of requests that occupy a slot."""
        raise NotImplementedError

    def expected_wait_ms(self, work: Work, now_ms: float) -> float:
        """Return the expected time until this work would start."""
        raise NotImplementedError

    def next_event_ms(self, now_ms: float) -> float:
        """
        Return the monotonic time of the next expiry or possible start.

        Infinite if only a call of another method can change anything.
        """
        raise NotImplementedError
