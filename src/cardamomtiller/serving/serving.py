"""Serve one upstream: dispatch packets of callers and frames of the upstream."""

from loguru import logger

from cardamomtiller.identity import FlowId
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.serving.flowserving import FlowServer
from cardamomtiller.serving.flowtable import ServedFlow
from cardamomtiller.serving.home import Home, ReceivedPacket, ServingContext
from cardamomtiller.serving.link import LinkListener, UpstreamLink
from cardamomtiller.serving.requestserving import RequestServer
from cardamomtiller.wire_pb2 import Hello, Reason, UpstreamFrame, UpstreamLoad

SWEEP_MS = 1000


class ServedUpstream(LinkListener):
    """Dispatch the packets and link events of one upstream to its servers."""

    def __init__(
        self,
        row: UpstreamRow,
        catalog: Catalog,
        context: ServingContext,
    ) -> None:
        """Create the servers; ``attach`` sets the link."""
        self.home = Home(row, catalog, context)
        self.request_server = RequestServer(self.home)
        self.flow_server = FlowServer(self.home, self.request_server)
        self._next_sweep_ms = context.clock_ms()

    def attach(self, link: UpstreamLink) -> None:
        """Set the link to the upstream."""
        self.home.link = link

    @property
    def row(self) -> UpstreamRow:
        """Return the published row of the upstream."""
        return self.home.row

    @property
    def is_owner(self) -> bool:
        """Return whether this instance owns the upstream and may start requests."""
        return self.home.is_owner

    def set_row(self, row: UpstreamRow, catalog: Catalog, now_ms: float) -> None:
        """Apply a new published row and catalog."""
        if row.slots != self.home.row.slots:
            self.request_server.scheduler.set_slots(row.slots, now_ms)
        self.home.row = row
        self.home.catalog = catalog

    def retire(self, now_ms: float) -> None:
        """Release ownership: move the flows and the requests not yet started."""
        if not self.home.is_owner:
            return
        self.home.is_owner = False
        logger.info('upstream {}: ownership released', self.row.name)
        self.flow_server.retire(now_ms)
        self.request_server.retire(now_ms)

    def resume_ownership(self, now_ms: float) -> None:
        """Resume ownership after ``retire``."""
        if self.home.is_owner:
            return
        logger.info('upstream {}: ownership resumed', self.row.name)
        self.home.is_owner = True
        self.flow_server.resume_ownership(now_ms)

    @property
    def is_drained(self) -> bool:
        """Return whether all moves are sent and all requests are answered."""
        return self.flow_server.is_drained and self.request_server.is_drained

    @property
    def is_acknowledged(self) -> bool:
        """Return whether every answer has been acknowledged by its caller."""
        return self.request_server.is_acknowledged

    def load(self) -> UpstreamLoad:
        """Return the load that instances use to select an upstream."""
        scheduler = self.request_server.scheduler
        return UpstreamLoad(
            open_flows=len(self.home.flow_table),
            queued_requests=scheduler.queued(),
            running_requests=scheduler.running(),
            slots=self.row.slots,
            is_healthy=self.home.is_up and not self.home.is_draining,
        )

    # Packets of callers

    def handle(self, received: ReceivedPacket, now_ms: float) -> None:
        """Handle an authenticated packet of a caller."""
        if received.packet.WhichOneof('body') == 'open':
            self.flow_server.handle_open(received, now_ms)
            return
        flow = self._find_flow(received, now_ms)
        if flow is not None:
            self._handle_packet(flow, received, now_ms)

    def _handle_packet(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        match received.packet.WhichOneof('body'):
            case 'request':
                self.request_server.handle_request(flow, received, now_ms)
            case 'keepalive':
                self.flow_server.handle_keepalive(flow, received, now_ms)
            case 'answer_ack':
                self.request_server.handle_answer_ack(flow, received, now_ms)
            case 'push_ack':
                self.flow_server.handle_push_ack(flow, received.packet.push_ack.push_id)
            case 'cancel':
                self.request_server.handle_cancel(flow, received, now_ms)
            case 'close':
                self.home.count('flow.closed')
                self.flow_server.close_flow(flow, now_ms)
            case _:
                self.home.count('packet.unexpected')

    def _find_flow(self, received: ReceivedPacket, now_ms: float) -> ServedFlow | None:
        cookie = received.cookie
        if cookie is None:
            self.home.count('packet.without_cookie')
            return None
        flow = self.home.flow_table.flows_by_id.get(received.flow_id)
        if cookie.upstream_incarnation != self.home.incarnation and self.home.is_up:
            self.home.reset_unknown(received, Reason.REASON_UPSTREAM_GONE, now_ms)
            return None
        if flow is None or not flow.is_home or cookie.generation > flow.generation:
            self.home.reset_unknown(received, Reason.REASON_HOME_GONE, now_ms)
            return None
        if cookie.generation != flow.generation:
            self.request_server.handle_stale(flow, received, now_ms)
            return None
        flow.update_from_packet(received.packet.sequence, received.caller, now_ms)
        return flow

    # Link events

    def handle_up(self, hello: Hello) -> None:
        """Accept the upstream if its hello matches the published row."""
        now_ms = self.home.context.clock_ms()
        if hello.service != self.row.service or hello.upstream != self.row.name:
            self._reject_hello(hello)
            return
        if hello.incarnation != self.home.incarnation:
            self.flow_server.reset_all(now_ms)
            self.home.incarnation = hello.incarnation
        logger.info('upstream {} is up', self.row.name)
        self.home.is_draining = False
        self.home.count('link.up')

    def _reject_hello(self, hello: Hello) -> None:
        """Mark the connected upstream as not usable."""
        self.home.count('link.wrong_upstream')
        logger.error(
            'upstream {} of {}: hello names {} of {} instead',
            self.row.name,
            self.row.service,
            hello.upstream,
            hello.service,
        )
        self.home.incarnation = 0

    def handle_frame(self, frame: UpstreamFrame) -> None:
        """Dispatch a frame of the upstream."""
        now_ms = self.home.context.clock_ms()
        if not self.home.incarnation:
            self.home.count('link.frame_of_wrong_upstream')
            return
        match frame.WhichOneof('body'):
            case 'run_answer':
                self.request_server.handle_run_answer(frame.run_answer, now_ms)
            case 'run_shed':
                self.request_server.handle_shed(frame.run_shed, now_ms)
            case 'load_report':
                # Only counted: the report of an upstream can be late or wrong, so the
                # load is computed from the scheduler and observed outcomes.
                self.home.count('link.report')
            case 'drain':
                self.home.is_draining = frame.drain.is_draining
            case _:
                self._handle_flow_frame(frame, now_ms)
        self.request_server.start_work(now_ms)

    def _handle_flow_frame(self, frame: UpstreamFrame, now_ms: float) -> None:
        match frame.WhichOneof('body'):
            case 'push_frame':
                self.flow_server.handle_push(frame.push_frame)
            case 'flow_pong':
                self.flow_server.handle_pong(frame.flow_pong, now_ms)
            case 'flow_opened':
                self.flow_server.handle_flow_opened(frame.flow_opened, now_ms)
            case 'flow_list':
                self.flow_server.add_listed(frame.flow_list, now_ms)
            case 'flow_close':
                flow_id = FlowId(frame.flow_close.flow_id)
                self.flow_server.handle_upstream_close(flow_id, now_ms)
            case _:
                self.home.count('link.unexpected_frame')

    def handle_down(self) -> None:
        """Handle the loss of the link; the outcome of running requests is unknown."""
        logger.warning('upstream {} is down', self.row.name)
        self.home.count('link.down')
        self.request_server.handle_down(self.home.context.clock_ms())

    def tick(self, now_ms: float) -> None:
        """Handle due timers, pending moves and idle flows."""
        self.request_server.tick(now_ms)
        self.flow_server.send_moves()
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + SWEEP_MS
            self.flow_server.expire(now_ms)
