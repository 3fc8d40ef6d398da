"""Schedule of the probes of an instance."""

import math
import random
from collections.abc import Iterable, Iterator, Mapping

from cardamomtiller.identity import InstanceId
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.membertable import MemberTable

# Fleet-wide probes per probe interval of an instance that counts as lost.
DOWN_PROBES_PER_INTERVAL = 2
CO_OBSERVERS_PROBED = 2
# Part of an interval by which a probe is moved at random.
JITTER_SHARE = 0.1
# Part of an interval over which exchanges with news are spread.
EXPEDITE_SPREAD_SHARE = 0.2


class ProbeSchedule:
    """Decide when an exchange with each instance is due."""

    def __init__(
        self,
        table: MemberTable,
        options: MembershipOptions,
        generator: random.Random,
        now_ms: float,
    ) -> None:
        """Start with nothing due; ``generator`` spreads the exchanges."""
        self._table = table
        self._options = options
        self._random = generator
        self._due_ms: dict[InstanceId, float] = {}
        self._extra_probes: list[tuple[float, InstanceId]] = []
        self._next_down_probe_ms = now_ms
        self._expedited_ms = -math.inf

    def take_due_targets(
        self,
        intervals_ms: Mapping[InstanceId, float],
        now_ms: float,
    ) -> set[InstanceId]:
        """Return the instances to probe now; each is due once per interval."""
        targets = set(self._take_due_neighbors(intervals_ms, now_ms))
        targets.update(self._take_due_down_target(now_ms))
        extra_targets = [
            name for due_ms, name in self._extra_probes if due_ms <= now_ms
        ]
        self._extra_probes = [row for row in self._extra_probes if row[0] > now_ms]
        targets.update(name for name in extra_targets if name in self._table.records)
        targets.discard(self._table.own_record.row.name)
        return targets

    def expedite(self, now_ms: float) -> None:
        """Bring the next regular exchanges forward, once per half interval."""
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
        """Ask other observers of an instance that is suspected from now on."""
        # They may still reach the target and then hold its refutation, so they
        # are asked at once and again before the suspicion runs out.
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
        """Drop the regular exchange with an instance."""
        self._due_ms.pop(name, None)

    def _take_due_neighbors(
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

    def _take_due_down_target(self, now_ms: float) -> Iterator[InstanceId]:
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
