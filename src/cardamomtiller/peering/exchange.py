"""Parts of exchange messages: lease reports and grants, and upstream loads."""

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
    """Send lease reports to their grantors, and grants back to the holders."""

    def __init__(self, agent: LeaseAgent) -> None:
        """Start with no pending reports or grants."""
        self._agent = agent
        self._pending_reports: dict[InstanceId, dict[str, LeaseReport]] = {}
        self._pending_grants: dict[InstanceId, list[LeaseGrant]] = {}

    def collect_due_reports(self, now_ms: float) -> Iterator[InstanceId]:
        """Queue the reports that are due, and yield their receivers."""
        for target, report in self._agent.reports_due(now_ms):
            # A newer report of the same scope replaces the pending one.
            self._pending_reports.setdefault(target, {})[report.scope] = report
            yield target

    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add the pending reports and grants for a target."""
        reports = self._pending_reports.pop(target, {})
        message.lease_reports.extend(reports.values())
        message.lease_grants.extend(self._pending_grants.pop(target, ()))

    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Process the reports and grants of a message; queue grants as answers."""
        sender = InstanceId(message.sender)
        for grant in message.lease_grants[:MAX_LEASES_PER_MESSAGE]:
            self._agent.handle_grant(grant, now_ms)
        for report in message.lease_reports[:MAX_LEASES_PER_MESSAGE]:
            grant = self._agent.handle_report(report, now_ms)
            self._pending_grants.setdefault(sender, []).append(grant)


class LoadPart(ExchangePart):
    """Send the loads of the upstreams that this instance owns."""

    def __init__(
        self,
        loads: Callable[[], Iterable[LoadRow]],
        sink: LoadSink,
    ) -> None:
        """Set up the part; ``sink`` is called for each load that arrives."""
        self._loads = loads
        self._sink = sink
        self._sent_ms: dict[InstanceId, float] = {}

    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add the loads, at most once per ``LOADS_INTERVAL_MS`` and target."""
        if now_ms - self._sent_ms.get(target, -LOADS_INTERVAL_MS) < LOADS_INTERVAL_MS:
            return
        self._sent_ms[target] = now_ms
        for row, load in self._loads():
            served = ServedLoad(service=row.service, upstream=row.name, load=load)
            message.loads.append(served)

    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Pass the loads of a message to the sink."""
        for served in message.loads:
            service = ServiceName(served.service)
            self._sink(service, UpstreamId(served.upstream), served.load)
