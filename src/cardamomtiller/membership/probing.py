"""Schedule of the exchanges by which an instance probes its peers."""

import math
import random
from collections.abc import Iterable, Iterator, Mapping

from cardamomtiller.identity import InstanceId
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.membertable import MemberTable

# Expected number of probes that an instance that is presumed down gets from the
# whole fleet in one probe interval.
DOWN_PROBES_PER_INTERVAL = 2
CO_OBSERVERS_PROBED = 2
# Maximum random shift of a probe, as a fraction of its interval.
JITTER_SHARE = 0.1
# Expedited exchanges are spread over this fraction of the probe interval.
EXPEDITE_SPREAD_SHARE = 0.2


class ProbeSchedule:
    """
    Schedule of the exchanges that this instance starts.

    It holds the regular exchanges with neighbours, extra exchanges with other
    observers of a suspected instance, and occasional probes of instances that
    are presumed down.
    """

    def __init__(
        self,
        table: MemberTable,
        options: MembershipOptions,
        generator: random.Random,
        now_ms: float,
    ) -> None:
        """Start with an empty schedule; ``generator`` provides the jitter."""
        self._table = table
        self._options = options
        self._random = generator
        self._due_ms: dict[InstanceId, float] = {}
        self._extra_probes: list[tuple[float, InstanceId]] = []
        self._next_down_probe_ms = now_ms
        self._expedited_ms = -math.inf

    def pop_due_targets(
        self,
        intervals_ms: Mapping[InstanceId, float],
        now_ms: float,
    ) -> set[InstanceId]:
        """Return the instances to probe now, and schedule their next probes."""
        targets = set(self._pop_due_neighbors(intervals_ms, now_ms))
        targets.update(self._pop_due_down_target(now_ms))
        extra_targets = [
            name for due_ms, name in self._extra_probes if due_ms <= now_ms
        ]
        self._extra_probes = [
            probe for probe in self._extra_probes if probe[0] > now_ms
        ]
        targets.update(name for name in extra_targets if name in self._table.records)
        targets.discard(self._table.own_record.row.name)
        return targets

    def expedite(self, now_ms: float) -> None:
        """Reschedule the regular exchanges earlier, at most once per half interval."""
        if now_ms < self._expedited_ms + self._options.probe_interval_ms / 2:
            return
        self._expedited_ms = now_ms
        spread_ms = EXPEDITE_SPREAD_SHARE * self._options.probe_interval_ms
        for name, due_ms in self._due_ms.items():
            expedited_ms = now_ms + spread_ms * self._random.random()
            self._due_ms[name] = min(due_ms, expedited_ms)

    def make_all_due(self, now_ms: float) -> None:
        """Make all regular exchanges due now."""
        self._due_ms = dict.fromkeys(self._due_ms, now_ms)

    def schedule_retry(self, target: InstanceId, now_ms: float) -> None:
        """Repeat a failed exchange after half an interval."""
        self._due_ms[target] = now_ms + self._options.probe_interval_ms / 2

    def schedule_co_observers(
        self, observers: Iterable[InstanceId], now_ms: float
    ) -> None:
        """Schedule exchanges with other observers of a newly suspected instance."""
        # If an observer can still reach the target, it holds the refutation. It is
        # probed at once, and again shortly before the suspicion expires.
        names = [
            name
            for name in observers
            if name != self._table.own_record.row.name
            and not self._table.records[name].is_presumed_down
        ]
        second_delay_ms = self._options.suspect_ms - self._options.probe_timeout_ms / 2
        for name in names[:CO_OBSERVERS_PROBED]:
            self._extra_probes.append((now_ms, name))
            self._extra_probes.append((now_ms + max(second_delay_ms, 0), name))

    def remove(self, name: InstanceId) -> None:
        """Cancel the regular exchanges with an instance."""
        self._due_ms.pop(name, None)

    def _pop_due_neighbors(
        self,
        intervals_ms: Mapping[InstanceId, float],
        now_ms: float,
    ) -> Iterator[InstanceId]:
        for removed in self._due_ms.keys() - intervals_ms.keys():
            self._due_ms.pop(removed)
        for name, interval_ms in intervals_ms.items():
            due_ms = self._due_ms.get(name)
            if due_ms is None:
                due_ms = now_ms + JITTER_SHARE * interval_ms * self._random.random()
                self._due_ms[name] = due_ms
            if due_ms <= now_ms:
                jitter = 1 + JITTER_SHARE * self._random.uniform(-1, 1)
                self._due_ms[name] = now_ms + interval_ms * jitter
                yield name

    def _pop_due_down_target(self, now_ms: float) -> Iterator[InstanceId]:
        if now_ms < self._next_down_probe_ms:
            return
        jitter = 1 + JITTER_SHARE * self._random.uniform(-1, 1)
        self._next_down_probe_ms = now_ms + self._options.probe_interval_ms * jitter
        down = [
            name
            for name, record in self._table.records.items()
            if record.is_presumed_down
        ]
        up_count = max(1, len(self._table.records) - len(down))
        if (
            down
            and self._random.random() < DOWN_PROBES_PER_INTERVAL * len(down) / up_count
        ):
            yield self._random.choice(down)
