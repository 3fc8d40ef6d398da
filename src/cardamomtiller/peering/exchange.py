"""What exchanges between instances carry: leases and loads of upstreams."""

from collections.abc import Callable, Iterable, Iterator

from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.identity import InstanceId, ServiceName, UpstreamId
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.peer_pb2 import Exchange, LeaseGrant, LeaseReport, ServedLoad
from cardamomtiller.peering.exchangeparts import ExchangePart
from cardamomtiller.wire_pb2 import UpstreamLoad

LOADS_INTERVAL_MS = 1000
MAX_LEASES_PER_MESSAGE = 16

LoadRow = tuple[UpstreamRow, UpstreamLoad]
LoadSink = Callable[[ServiceName, UpstreamId, UpstreamLoad], None]


class LeasePart(ExchangePart):
    """Carry lease reports to grantors and their grants back."""

    def __init__(self, agent: LeaseAgent) -> None:
        """Start with nothing to send."""
        self._agent = agent
        self._pending_reports: dict[InstanceId, dict[str, LeaseReport]] = {}
        self._pending_grants: dict[InstanceId, list[LeaseGrant]] = {}

    def collect_due_reports(self, now_ms: float) -> Iterator[InstanceId]:
        """Take the reports that are due; iterate over their receivers."""
        for target, report in self._agent.reports_due(now_ms):
            # Only the newest report of a scope is of use.
            self._pending_reports.setdefault(target, {})[report.scope] = report
            yield target

    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add what a target shall hear."""
        reports = self._pending_reports.pop(target, {})
        message.lease_reports.extend(reports.values())
        message.lease_grants.extend(self._pending_grants.pop(target, ()))

    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Use the reports and grants of a message."""
        sender = InstanceId(message.sender)
        for grant in message.lease_grants[:MAX_LEASES_PER_MESSAGE]:
            self._agent.handle_grant(grant, now_ms)
        for report in message.lease_reports[:MAX_LEASES_PER_MESSAGE]:
            grant = self._agent.handle_report(report, now_ms)
            self._pending_grants.setdefault(sender, []).append(grant)


class LoadPart(ExchangePart):
    """Carry the loads of the upstreams that an instance owns."""

    def __init__(
        self,
        loads: Callable[[], Iterable[LoadRow]],
        sink: LoadSink,
    ) -> None:
        """Remember where loads come from and go to."""
        self._loads = loads
        self._sink = sink
        self._sent_ms: dict[InstanceId, float] = {}

    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add the loads, at most once per interval and target."""
        if now_ms - self._sent_ms.get(target, -LOADS_INTERVAL_MS) < LOADS_INTERVAL_MS:
            return
        self._sent_ms[target] = now_ms
        for row, load in self._loads():
            served = ServedLoad(service=row.service, upstream=row.name, load=load)
            message.loads.append(served)

    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Use the loads of a message."""
        for served in message.loads:
            service = ServiceName(served.service)
            self._sink(service, UpstreamId(served.upstream), served.load)
