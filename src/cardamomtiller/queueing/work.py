"""Work that waits for a slot, the limits of its queue, and refusals."""

from dataclasses import dataclass, field

from cardamomtiller.identity import CustomerId, RequestKey, ServiceClass
from cardamomtiller.settings_pb2 import QueueSettings
from cardamomtiller.wire_pb2 import Reason

CLASSES = (ServiceClass.NORMAL, ServiceClass.URGENT, ServiceClass.BULK)
# Tables by class are sequences indexed by its value, since hashing an enum member
# is slow. CLASSES is in the order of the values.
NORMAL = ServiceClass.NORMAL.value
URGENT = ServiceClass.URGENT.value
BULK = ServiceClass.BULK.value


@dataclass(frozen=True, slots=True)
class QueueOptions:
    """Limits and weights of a queue."""

    long_run_ms: float
    long_bytes: int
    longest_wait_ms: float
    urgent_weight: float
    normal_weight: float
    bulk_weight: float

    @classmethod
    def from_settings(cls, settings: QueueSettings) -> 'QueueOptions':
        """Take the checked settings."""
        return cls(
            long_run_ms=settings.long_run_ms,
            long_bytes=settings.long_bytes,
            longest_wait_ms=settings.longest_wait_ms,
            urgent_weight=settings.urgent_weight,
            normal_weight=settings.normal_weight,
            bulk_weight=settings.bulk_weight,
        )

    def class_shares(self) -> tuple[float, ...]:
        """Return the guaranteed share by value of the class; the sum is 1."""
        weights = (self.normal_weight, self.urgent_weight, self.bulk_weight)
        return tuple(weight / sum(weights) for weight in weights)

    def is_long(self, work: 'Work', cost_ms: float) -> bool:
        """Return whether work of this running time counts as long."""
        return (
            work.service_class is ServiceClass.BULK
            or work.size_bytes > self.long_bytes
            or cost_ms > self.long_run_ms
        )


@dataclass(frozen=True, slots=True)
class Work:
    """
    A request that waits for a slot.

    ``deadline_ms`` is a monotonic time. ``weight`` is that of the customer's
    plan. The scheduler only carries ``payload``, which takes no part in
    comparisons and may be mutable.
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
    """Why work was not accepted and when to try again."""

    reason: 'Reason.ValueType'
    retry_after_ms: float
