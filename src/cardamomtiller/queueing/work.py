"""Requests that wait for a slot, and the limits and refusals of their queue."""

from dataclasses import dataclass, field

from cardamomtiller.identity import CustomerId, RequestKey, ServiceClass
from cardamomtiller.settings_pb2 import QueueSettings
from cardamomtiller.wire_pb2 import Reason

CLASSES = (ServiceClass.NORMAL, ServiceClass.URGENT, ServiceClass.BULK)
# Tables by class are sequences indexed by the value of the class, because hashing an
# enum member is slow. CLASSES is in the order of these values.
NORMAL = ServiceClass.NORMAL.value
URGENT = ServiceClass.URGENT.value
BULK = ServiceClass.BULK.value


@dataclass(frozen=True, slots=True)
class QueueOptions:
    """Limits of a queue and the weights of its service classes."""

    long_run_ms: float
    long_bytes: int
    longest_wait_ms: float
    urgent_weight: float
    normal_weight: float
    bulk_weight: float

    @classmethod
    def from_settings(cls, settings: QueueSettings) -> 'QueueOptions':
        """Create the options from validated settings."""
        return cls(
            long_run_ms=settings.long_run_ms,
            long_bytes=settings.long_bytes,
            longest_wait_ms=settings.longest_wait_ms,
            urgent_weight=settings.urgent_weight,
            normal_weight=settings.normal_weight,
            bulk_weight=settings.bulk_weight,
        )

    def class_shares(self) -> tuple[float, ...]:
        """Return the guaranteed shares, indexed by class; their sum is 1."""
        weights = (self.normal_weight, self.urgent_weight, self.bulk_weight)
        return tuple(weight / sum(weights) for weight in weights)

    def is_long(self, work: 'Work', cost_ms: float) -> bool:
        """Return whether work with this estimated running time counts as long."""
        return (
            work.service_class is ServiceClass.BULK
            or work.size_bytes > self.long_bytes
            or cost_ms > self.long_run_ms
        )


@dataclass(frozen=True, slots=True)
class Work:
    """
    A request to run in a slot of an upstream.

    ``deadline_ms`` is a monotonic time. ``weight`` is the fair-queueing weight
    of the customer's plan. ``payload`` belongs to the caller: the scheduler
    does not read it, and it is excluded from comparisons, so it may be mutable.
    """

    request: RequestKey
    customer: CustomerId
    service_class: ServiceClass
    size_bytes: int
    deadline_ms: float
    weight: float
    is_idempotent: bool
    payload: object = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why work was refused and the delay before the next attempt."""

    reason: 'Reason.ValueType'
    retry_after_ms: float
