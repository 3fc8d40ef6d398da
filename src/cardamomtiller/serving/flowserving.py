"""Flows of one upstream: opening, moving, keepalives and pushes."""

from returns.result import Failure

from cardamomtiller.identity import FlowId, OperatorState, RequestId
from cardamomtiller.serving.flowtable import ServedFlow
from cardamomtiller.serving.home import Arrival, Home
from cardamomtiller.serving.requestserving import RequestServer
from cardamomtiller.wire_pb2 import (
    Cookie,
    FlowClose,
    FlowList,
    FlowOpen,
    FlowOpened,
    FlowPing,
    FlowPong,
    KeepaliveAnswer,
    Moved,
    Opened,
    Packet,
    Push,
    PushFrame,
    PushFrameAck,
    Reason,
    Refresh,
    Refused,
    Reset,
    UpstreamFrame,
)

MOVED_PER_TICK = 200
RETRY_OPEN_MS = 200


class FlowServer:
    """Keep the flows of one upstream."""

    def __init__(self, home: Home, requests: RequestServer) -> None:
        """Start with the home's table of flows."""
        self._home = home
        self._requests = requests
        self._unmoved: list[FlowId] = []

    @property
    def is_drained(self) -> bool:
        """Return whether every flow has been told to move."""
        return not self._unmoved

    def retire(self, now_ms: float) -> None:
        """Begin to tell every flow to move."""
        rows = self._home.flows_by_id.values()
        self._unmoved = [row.flow_id for row in rows if row.is_home]
        for row in rows:
            self._home.disown(row, now_ms)

    def resume_ownership(self, now_ms: float) -> None:
        """Stop telling flows to move."""
        self._unmoved = []
        for row in self._home.flows_by_id.values():
            self._home.adopt(row, now_ms)

    def add_listed(self, message: FlowList, now_ms: float) -> None:
        """Take flows from the upstream's list."""
        service = self._home.row.service
        for record in message.flows:
            row = self._home.flow_table.add_listed(record, service, now_ms)
            self._home.adopt(row, now_ms)

    def handle_open(self, arrival: Arrival, now_ms: float) -> None:
        """Open a flow or give it a new home."""
        row = self._home.flows_by_id.get(arrival.flow_id)
        if row and arrival.packet.open.is_unheard:
            row.relay = arrival.forwarder
        if row and row.pending_generation:
            self._send_flow_open(row, now_ms)
            return
        if row and row.customer == arrival.customer and _is_current(row, arrival):
            row.take_packet(arrival.packet.sequence, arrival.caller, now_ms)
            self._send_opened(row, now_ms)
            return
        if not self._home.is_up:
            self._refuse(arrival, Reason.REASON_NO_UPSTREAM, RETRY_OPEN_MS, now_ms)
            return
        if self._is_gone(arrival.cookie):
            self._home.reset_unknown(arrival, Reason.REASON_UPSTREAM_GONE, now_ms)
            return
        self._open_flow(arrival, row, now_ms)

    def _is_leaving(self) -> bool:
        """Return whether the upstream takes no new flows."""
        is_leaving = self._home.row.state is OperatorState.LEAVING
        return is_leaving or self._home.is_draining

    def _is_gone(self, cookie: Cookie | None) -> bool:
        return (
            cookie is not None and cookie.upstream_incarnation != self._home.incarnation
        )

    def _open_flow(
        self,
        arrival: Arrival,
        row: ServedFlow | None,
        now_ms: float,
    ) -> None:
        if row is not None and row.customer != arrival.customer:
            self._home.count('open.foreign_flow')
            return
        permit = row.permit if row else None
        if arrival.cookie is None and self._is_leaving():
            reason = Reason.REASON_NO_UPSTREAM
            self._refuse(arrival, reason, RETRY_OPEN_MS, now_ms)
            return
        if arrival.cookie is None and permit is None:
            admitted = self._home.context.admission.admit_flow(arrival.customer, now_ms)
            if isinstance(admitted, Failure):
                refusal = admitted.failure()
                self._home.count(f'open.refused.{arrival.customer}')
                self._refuse(arrival, refusal.reason, refusal.retry_after_ms, now_ms)
                return
            permit = admitted.unwrap()
        held = row.generation if row else 0
        known = arrival.cookie.generation if arrival.cookie else 0
        row = self._home.guest(arrival, now_ms)
        if arrival.packet.open.is_unheard:
            row.relay = arrival.forwarder
        row.permit = permit
        row.generation = held
        row.pending_generation = max(held, known) + 1
        self._home.adopt(row, now_ms)
        self._home.flows_by_id[arrival.flow_id] = row
        self._send_flow_open(row, now_ms)

    def _send_flow_open(self, row: ServedFlow, now_ms: float) -> None:
        row.seen_ms = now_ms
        record = row.record(row.pending_generation)
        opening = FlowOpen(flow=record, home=self._home.context.identity.instance)
        if not self._home.send_frame(UpstreamFrame(flow_open=opening)):
            self._home.count('open.without_link')

    def handle_flow_opened(self, message: FlowOpened, now_ms: float) -> None:
        """Learn whether the upstream granted the generation."""
        row = self._home.flows_by_id.get(FlowId(message.flow_id))
        if row is None or not row.pending_generation:
            return
        if message.refusal:
            self._handle_open_refused(row, message, now_ms)
            return
        if message.generation != row.pending_generation:
            return
        row.pending_generation = 0
        row.generation = message.generation
        row.is_home = True
        row.pinged_ms = 0
        self._home.count('flow.opened' if row.generation == 1 else 'flow.resumed')
        self._send_opened(row, now_ms)
        if row.forwarder:
            self._home.context.output.send_load(row.forwarder, self._home.row.name)

    def _handle_open_refused(
        self,
        row: ServedFlow,
        message: FlowOpened,
        now_ms: float,
    ) -> None:
        self._home.count('open.refused_by_upstream')
        row.pending_generation = 0
        row.generation = max(row.generation, message.held_generation)
        if message.refusal == Reason.REASON_STALE_GENERATION:
            # The caller sends the open again, then with a higher generation.
            return
        if message.refusal == Reason.REASON_UNKNOWN_FLOW:
            self._home.send(row, Packet(reset=Reset(reason=message.refusal)))
        else:
            refused = Refused(reason=message.refusal, retry_after_ms=RETRY_OPEN_MS)
            self._home.send(row, Packet(refused=refused))
        self._home.flows_by_id.pop(row.flow_id, None)
        self._home.release(row.permit, now_ms)

    def _send_opened(self, row: ServedFlow, now_ms: float) -> None:
        opened = Opened(
            upstream=self._home.row.name,
            generation=row.generation,
            keepalive_ms=int(self._home.settings.flow.keepalive_ms),
        )
        self._home.send_cookie(row, Packet(opened=opened), now_ms)

    def _refuse(
        self,
        arrival: Arrival,
        reason: Reason.ValueType,
        retry_after_ms: float,
        now_ms: float,
    ) -> None:
        self._home.count('open.refused')
        refused = Refused(reason=reason, retry_after_ms=int(retry_after_ms))
        guest = self._home.guest(arrival, now_ms)
        self._home.context.output.send(
            guest, Packet(flow_id=guest.flow_id, refused=refused)
        )
        if arrival.forwarder:
            self._home.context.output.send_load(arrival.forwarder, self._home.row.name)

    def handle_keepalive(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        """Ping the upstream, whose answer answers the keepalive."""
        first_open = RequestId(arrival.packet.keepalive.first_open_request_id)
        self._requests.finish_below(row.flow_id, first_open, now_ms)
        if not self._home.is_owner:
            self._home.send(row, Packet(moved=Moved()))
        row.pinged_ms = row.pinged_ms or now_ms
        # Answers that came during a pause of this process are still unread.
        silent_since_ms = max(row.pinged_ms, self._home.context.identity.woke_ms)
        if now_ms - silent_since_ms > self._home.settings.entrance.silence_ms:
            self._home.count('flow.upstream_silent')
            self._home.send(row, Packet(reset=Reset(reason=Reason.REASON_LINK_LOST)))
        ping = FlowPing(flow=row.record(row.generation))
        self._home.send_frame(UpstreamFrame(flow_ping=ping))
        issued_ms = arrival.cookie.issued_ms if arrival.cookie else 0
        lifetime_ms = self._home.settings.flow.cookie_lifetime_ms
        if self._home.is_owner and now_ms - issued_ms > lifetime_ms / 2:
            self._home.send_cookie(row, Packet(refresh=Refresh()), now_ms)

    def handle_pong(self, message: FlowPong, now_ms: float) -> None:
        """Answer the caller's keepalive when the upstream knows the flow."""
        flow = FlowId(message.flow_id)
        refusal = message.refusal
        row = self._home.flows_by_id.get(flow)
        if row is None or not row.is_home:
            return
        if refusal == Reason.REASON_UNKNOWN_FLOW:
            self._home.count('flow.unknown_at_upstream')
            self._home.send(row, Packet(reset=Reset(reason=refusal)))
            self.drop(row, now_ms)
            return
        if refusal:
            self._lose_flow(row, now_ms)
            return
        row.pinged_ms = 0
        self._home.send(
            row, Packet(keepalive_answer=KeepaliveAnswer(is_from_upstream=True))
        )

    def _lose_flow(self, row: ServedFlow, now_ms: float) -> None:
        self._home.count('flow.moved_away')
        row.is_home = False
        self._home.disown(row, now_ms)
        self._requests.move_flow(row.flow_id, now_ms)

    def handle_push(self, message: PushFrame) -> None:
        """Send a push to the caller, which acknowledges it end to end."""
        row = self._home.flows_by_id.get(FlowId(message.flow_id))
        if row is None or not row.is_home:
            self._home.count('push.unknown_flow')
            return
        self._home.count('push.sent')
        push = Push(push_id=message.push_id, payload=message.payload)
        self._home.send(row, Packet(push=push))

    def handle_upstream_close(self, flow: FlowId, now_ms: float) -> None:
        """Learn that the upstream closed a flow."""
        row = self._home.flows_by_id.get(flow)
        if row is None:
            return
        self._home.count('flow.closed_by_upstream')
        if row.is_home:
            reset = Reset(reason=Reason.REASON_UNKNOWN_FLOW)
            self._home.send(row, Packet(reset=reset))
        self.drop(row, now_ms)

    def drop(self, row: ServedFlow, now_ms: float) -> None:
        """Close a flow and end its requests."""
        self._home.flows_by_id.pop(row.flow_id, None)
        self._home.release(row.permit, now_ms)
        closing = FlowClose(flow_id=row.flow_id, generation=row.generation)
        self._home.send_frame(UpstreamFrame(flow_close=closing))
        self._requests.abandon_flow(row.flow_id, now_ms)

    def forget_incarnation(self, now_ms: float) -> None:
        """Reset the flows of an upstream that was restarted."""
        for row in tuple(self._home.flows_by_id.values()):
            if row.is_home:
                reset = Reset(reason=Reason.REASON_UPSTREAM_GONE)
                self._home.send(row, Packet(reset=reset))
            self.drop(row, now_ms)

    def send_moves(self) -> None:
        """Tell the next flows to move; a burst would be lost."""
        for flow in self._unmoved[:MOVED_PER_TICK]:
            row = self._home.flows_by_id.get(flow)
            if row and row.is_home:
                self._home.send(row, Packet(moved=Moved()))
        self._unmoved = self._unmoved[MOVED_PER_TICK:]

    def handle_push_ack(self, row: ServedFlow, push_id: int) -> None:
        """Pass the acknowledgement of a push on."""
        ack = PushFrameAck(flow_id=row.flow_id, push_id=push_id)
        self._home.send_frame(UpstreamFrame(push_frame_ack=ack))

    def expire(self, now_ms: float) -> None:
        """Close flows without packets."""
        limit_ms = now_ms - self._home.settings.flow.flow_idle_ms
        for row in self._home.flow_table.idle_since(limit_ms):
            self._home.count('flow.idle')
            if row.is_home:
                self.drop(row, now_ms)
            else:
                self._home.flows_by_id.pop(row.flow_id, None)
                self._home.release(row.permit, now_ms)


def _is_current(row: ServedFlow, arrival: Arrival) -> bool:
    """Return whether no later home than this one has issued a cookie."""
    known = arrival.cookie.generation if arrival.cookie else 0
    return row.is_home and row.generation >= known
