"""Open, move, keep alive and close the flows of one upstream; send pushes."""

from returns.result import Failure

from cardamomtiller.identity import FlowId, OperatorState, RequestId
from cardamomtiller.serving.flowtable import ServedFlow
from cardamomtiller.serving.home import Home, ReceivedPacket
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
    """Handle the flow messages of callers and of one upstream."""

    def __init__(self, home: Home, request_server: RequestServer) -> None:
        """Create the server for the flow table of a home."""
        self._home = home
        self._request_server = request_server
        self._pending_moves: list[FlowId] = []

    @property
    def is_drained(self) -> bool:
        """Return whether ``Moved`` has been sent for every flow."""
        return not self._pending_moves

    def retire(self, now_ms: float) -> None:
        """Schedule ``Moved`` for every flow and release the flow permits."""
        flows = self._home.flows_by_id.values()
        self._pending_moves = [flow.flow_id for flow in flows if flow.is_home]
        for flow in flows:
            self._home.release_flow_permit(flow, now_ms)

    def resume_ownership(self, now_ms: float) -> None:
        """Cancel the pending moves and acquire the flow permits again."""
        self._pending_moves = []
        for flow in self._home.flows_by_id.values():
            self._home.acquire_flow_permit(flow, now_ms)

    def add_listed(self, message: FlowList, now_ms: float) -> None:
        """Add flows from the flow list of the upstream."""
        service = self._home.row.service
        for record in message.flows:
            flow = self._home.flow_table.add_listed(record, service, now_ms)
            self._home.acquire_flow_permit(flow, now_ms)

    def handle_open(self, received: ReceivedPacket, now_ms: float) -> None:
        """Open a flow, or resume an existing flow with this instance as home."""
        flow = self._home.flows_by_id.get(received.flow_id)
        if flow and received.packet.open.is_unheard:
            flow.relay_instance = received.forwarder
        if flow and flow.pending_generation:
            self._send_flow_open(flow, now_ms)
            return
        if flow and flow.customer == received.customer and _is_current(flow, received):
            flow.update_from_packet(received.packet.sequence, received.caller, now_ms)
            self._send_opened(flow, now_ms)
            return
        if not self._home.is_up:
            self._refuse(received, Reason.REASON_NO_UPSTREAM, RETRY_OPEN_MS, now_ms)
            return
        if self._is_previous_incarnation(received.cookie):
            self._home.reset_unknown(received, Reason.REASON_UPSTREAM_GONE, now_ms)
            return
        self._open_flow(received, flow, now_ms)

    def _is_leaving(self) -> bool:
        """Return whether the upstream accepts no new flows."""
        is_leaving = self._home.row.state is OperatorState.LEAVING
        return is_leaving or self._home.is_draining

    def _is_previous_incarnation(self, cookie: Cookie | None) -> bool:
        return (
            cookie is not None and cookie.upstream_incarnation != self._home.incarnation
        )

    def _open_flow(
        self,
        received: ReceivedPacket,
        flow: ServedFlow | None,
        now_ms: float,
    ) -> None:
        if flow is not None and flow.customer != received.customer:
            self._home.count('open.foreign_flow')
            return
        permit = flow.permit if flow else None
        if received.cookie is None and self._is_leaving():
            reason = Reason.REASON_NO_UPSTREAM
            self._refuse(received, reason, RETRY_OPEN_MS, now_ms)
            return
        if received.cookie is None and permit is None:
            admitted = self._home.context.admission.admit_flow(
                received.customer, now_ms
            )
            if isinstance(admitted, Failure):
                refusal = admitted.failure()
                self._home.count(f'open.refused.{received.customer}')
                self._refuse(received, refusal.reason, refusal.retry_after_ms, now_ms)
                return
            permit = admitted.unwrap()
        current_generation = flow.generation if flow else 0
        cookie_generation = received.cookie.generation if received.cookie else 0
        flow = self._home.unregistered_flow(received, now_ms)
        if received.packet.open.is_unheard:
            flow.relay_instance = received.forwarder
        flow.permit = permit
        flow.generation = current_generation
        flow.pending_generation = max(current_generation, cookie_generation) + 1
        self._home.acquire_flow_permit(flow, now_ms)
        self._home.flows_by_id[received.flow_id] = flow
        self._send_flow_open(flow, now_ms)

    def _send_flow_open(self, flow: ServedFlow, now_ms: float) -> None:
        flow.seen_ms = now_ms
        record = flow.to_record(flow.pending_generation)
        flow_open = FlowOpen(flow=record, home=self._home.context.identity.instance)
        if not self._home.send_frame(UpstreamFrame(flow_open=flow_open)):
            self._home.count('open.without_link')

    def handle_flow_opened(self, message: FlowOpened, now_ms: float) -> None:
        """Handle the upstream's answer to an open, granted or refused."""
        flow = self._home.flows_by_id.get(FlowId(message.flow_id))
        if flow is None or not flow.pending_generation:
            return
        if message.refusal:
            self._handle_open_refused(flow, message, now_ms)
            return
        if message.generation != flow.pending_generation:
            return
        flow.pending_generation = 0
        flow.generation = message.generation
        flow.is_home = True
        flow.unanswered_ping_ms = 0
        self._home.count('flow.opened' if flow.generation == 1 else 'flow.resumed')
        self._send_opened(flow, now_ms)
        if flow.forwarder:
            self._home.context.output.send_load(flow.forwarder, self._home.row.name)

    def _handle_open_refused(
        self,
        flow: ServedFlow,
        message: FlowOpened,
        now_ms: float,
    ) -> None:
        self._home.count('open.refused_by_upstream')
        flow.pending_generation = 0
        flow.generation = max(flow.generation, message.held_generation)
        if message.refusal == Reason.REASON_STALE_GENERATION:
            # The caller retries the open, which then requests a higher generation.
            return
        if message.refusal == Reason.REASON_UNKNOWN_FLOW:
            self._home.send(flow, Packet(reset=Reset(reason=message.refusal)))
        else:
            refused = Refused(reason=message.refusal, retry_after_ms=RETRY_OPEN_MS)
            self._home.send(flow, Packet(refused=refused))
        self._home.flows_by_id.pop(flow.flow_id, None)
        self._home.release(flow.permit, now_ms)

    def _send_opened(self, flow: ServedFlow, now_ms: float) -> None:
        opened = Opened(
            upstream=self._home.row.name,
            generation=flow.generation,
            keepalive_ms=int(self._home.settings.flow.keepalive_ms),
        )
        self._home.send_cookie(flow, Packet(opened=opened), now_ms)

    def _refuse(
        self,
        received: ReceivedPacket,
        reason: Reason.ValueType,
        retry_after_ms: float,
        now_ms: float,
    ) -> None:
        self._home.count('open.refused')
        refused = Refused(reason=reason, retry_after_ms=int(retry_after_ms))
        flow = self._home.unregistered_flow(received, now_ms)
        self._home.context.output.send(
            flow, Packet(flow_id=flow.flow_id, refused=refused)
        )
        if received.forwarder:
            self._home.context.output.send_load(received.forwarder, self._home.row.name)

    def handle_keepalive(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        """Ping the upstream; its pong triggers the answer to the keepalive."""
        first_open_id = RequestId(received.packet.keepalive.first_open_request_id)
        self._request_server.finish_below(flow.flow_id, first_open_id, now_ms)
        if not self._home.is_owner:
            self._home.send(flow, Packet(moved=Moved()))
        flow.unanswered_ping_ms = flow.unanswered_ping_ms or now_ms
        # Pongs that arrived during a pause of this process may still be unread.
        silent_since_ms = max(
            flow.unanswered_ping_ms, self._home.context.identity.resumed_ms
        )
        if now_ms - silent_since_ms > self._home.settings.entrance.silence_ms:
            self._home.count('flow.upstream_silent')
            self._home.send(flow, Packet(reset=Reset(reason=Reason.REASON_LINK_LOST)))
        ping = FlowPing(flow=flow.to_record(flow.generation))
        self._home.send_frame(UpstreamFrame(flow_ping=ping))
        issued_ms = received.cookie.issued_ms if received.cookie else 0
        lifetime_ms = self._home.settings.flow.cookie_lifetime_ms
        if self._home.is_owner and now_ms - issued_ms > lifetime_ms / 2:
            self._home.send_cookie(flow, Packet(refresh=Refresh()), now_ms)

    def handle_pong(self, message: FlowPong, now_ms: float) -> None:
        """Answer the caller's keepalive, or reset the flow if the upstream lost it."""
        flow_id = FlowId(message.flow_id)
        refusal = message.refusal
        flow = self._home.flows_by_id.get(flow_id)
        if flow is None or not flow.is_home:
            return
        if refusal == Reason.REASON_UNKNOWN_FLOW:
            self._home.count('flow.unknown_at_upstream')
            self._home.send(flow, Packet(reset=Reset(reason=refusal)))
            self.close_flow(flow, now_ms)
            return
        if refusal:
            self._handle_moved_away(flow, now_ms)
            return
        flow.unanswered_ping_ms = 0
        self._home.send(
            flow, Packet(keepalive_answer=KeepaliveAnswer(is_from_upstream=True))
        )

    def _handle_moved_away(self, flow: ServedFlow, now_ms: float) -> None:
        self._home.count('flow.moved_away')
        flow.is_home = False
        self._home.release_flow_permit(flow, now_ms)
        self._request_server.move_requests_of_flow(flow.flow_id, now_ms)

    def handle_push(self, message: PushFrame) -> None:
        """Send a push to the caller; the acknowledgement is passed to the upstream."""
        flow = self._home.flows_by_id.get(FlowId(message.flow_id))
        if flow is None or not flow.is_home:
            self._home.count('push.unknown_flow')
            return
        self._home.count('push.sent')
        push = Push(push_id=message.push_id, payload=message.payload)
        self._home.send(flow, Packet(push=push))

    def handle_upstream_close(self, flow_id: FlowId, now_ms: float) -> None:
        """Reset and close a flow that the upstream closed."""
        flow = self._home.flows_by_id.get(flow_id)
        if flow is None:
            return
        self._home.count('flow.closed_by_upstream')
        if flow.is_home:
            reset = Reset(reason=Reason.REASON_UNKNOWN_FLOW)
            self._home.send(flow, Packet(reset=reset))
        self.close_flow(flow, now_ms)

    def close_flow(self, flow: ServedFlow, now_ms: float) -> None:
        """Close a flow at the upstream and cancel its requests."""
        self._home.flows_by_id.pop(flow.flow_id, None)
        self._home.release(flow.permit, now_ms)
        flow_close = FlowClose(flow_id=flow.flow_id, generation=flow.generation)
        self._home.send_frame(UpstreamFrame(flow_close=flow_close))
        self._request_server.cancel_requests_of_flow(flow.flow_id, now_ms)

    def reset_all(self, now_ms: float) -> None:
        """Reset all flows, because the upstream was restarted."""
        for flow in tuple(self._home.flows_by_id.values()):
            if flow.is_home:
                reset = Reset(reason=Reason.REASON_UPSTREAM_GONE)
                self._home.send(flow, Packet(reset=reset))
            self.close_flow(flow, now_ms)

    def send_moves(self) -> None:
        """Send ``Moved`` to a batch of flows; a larger burst would be lost."""
        for flow_id in self._pending_moves[:MOVED_PER_TICK]:
            flow = self._home.flows_by_id.get(flow_id)
            if flow and flow.is_home:
                self._home.send(flow, Packet(moved=Moved()))
        self._pending_moves = self._pending_moves[MOVED_PER_TICK:]

    def handle_push_ack(self, flow: ServedFlow, push_id: int) -> None:
        """Forward the acknowledgement of a push to the upstream."""
        ack = PushFrameAck(flow_id=flow.flow_id, push_id=push_id)
        self._home.send_frame(UpstreamFrame(push_frame_ack=ack))

    def expire(self, now_ms: float) -> None:
        """Close the flows that exceeded the idle timeout."""
        limit_ms = now_ms - self._home.settings.flow.flow_idle_ms
        for flow in self._home.flow_table.idle_since(limit_ms):
            self._home.count('flow.idle')
            if flow.is_home:
                self.close_flow(flow, now_ms)
            else:
                self._home.flows_by_id.pop(flow.flow_id, None)
                self._home.release(flow.permit, now_ms)


def _is_current(flow: ServedFlow, received: ReceivedPacket) -> bool:
    """Return whether the cookie names no later generation than this home's."""
    cookie_generation = received.cookie.generation if received.cookie else 0
    return flow.is_home and flow.generation >= cookie_generation
