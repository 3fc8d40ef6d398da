"""Options of the membership protocol."""

from dataclasses import dataclass

from cardamomtiller.settings_pb2 import MembershipSettings


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """
    Timeouts and fan-out of the membership protocol.

    ``probe_successors`` is the number of instances of its own failure domain
    that an instance probes regularly. ``late_wake_ms`` is the longest gap
    between two calls after which an instance does not count as paused.
    """

    probe_interval_ms: float
    probe_timeout_ms: float
    suspect_ms: float
    probe_successors: int
    late_wake_ms: float

    @property
    def isolation_timeout_ms(self) -> float:
        """Time without a successful exchange after which an instance serves alone."""
        return self.suspect_ms + 2 * self.probe_interval_ms


def read_options(settings: MembershipSettings) -> MembershipOptions:
    """Convert the section ``membership`` of the settings."""
    return MembershipOptions(
        probe_interval_ms=settings.probe_interval_ms,
        probe_timeout_ms=settings.probe_timeout_ms,
        suspect_ms=settings.suspect_ms,
        probe_successors=settings.probe_successors,
        late_wake_ms=settings.late_wake_ms,
    )
