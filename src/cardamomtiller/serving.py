"""The home: flows and requests of one owned upstream."""

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from loguru import logger
from returns.result import Failure

from cardamomtiller import codec
from cardamomtiller.admission import Admission, Permit
from cardamomtiller.catalog import Catalog
from cardamomtiller.cookie import CookieSealer
from cardamomtiller.counter import Counters
from cardamomtiller.document import UpstreamRow
from cardamomtiller.flowtable import FlowTable, ServedFlow
from cardamomtiller.identity import (
    CustomerId,
    Endpoint,
    FlowId,
    Incarnation,
    InstanceId,
    RequestId,
    RequestKey,
    ServiceClass,
    UpstreamId,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.link import BODY_CHUNK_BYTES, LinkListener, UpstreamLink
from cardamomtiller.record import DuplicateRecord, Verdict
from cardamomtiller.request import (
    LARGEST_ANSWER_CHUNKS,
    Ending,
    RequestState,
    ServedRequest,
)
from cardamomtiller.retry import RetryBudget, backoff_ms
from cardamomtiller.scheduler import Outcome, Scheduler, SchedulerOptions, Work
from cardamomtiller.settings_pb2 import Settings
from cardamomtiller.wire_pb2 import (
    Answer,
    AnswerStatus,
    CancelRun,
    Cookie,
    FlowClose,
    FlowOpen,
    FlowOpened,
    FlowPing,
    Hello,
    KeepaliveAnswer,
    Moved,
    Opened,
    Packet,
    Push,
    PushFrameAck,
    Reason,
    Refresh,
    Refused,
    Request,
    RequestAck,
    Reset,
    RunRequest,
    RunShed,
    UpstreamFrame,
    UpstreamLoad,
)

ANSWER_WINDOW_CHUNKS = 32
ANSWER_RETENTION_MS = 10_000
LONGEST_RESEND_MS = 1000
RUNNING_GRACE_MS = 50
MOVED_PER_TICK = 200
RETRY_OPEN_MS = 200
SHED_BACKOFF_MS = 10
LONGEST_SHED_BACKOFF_MS = 200


class CallerOutlet(ABC):
    """Where packets to callers leave."""

    @abstractmethod
    def send(self, flow: ServedFlow, packet: Packet) -> None:
        """Send a packet to the flow's caller, with the MAC of the flow."""

    @abstractmethod
    def send_load(self, forwarder: str, upstream: UpstreamId) -> None:
        """Tell the load of an upstream to the instance that forwarded an open."""


@dataclass(frozen=True, slots=True)
class HomeIdentity:
    """The instance that serves."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ServingParts:
    """What the homes of one instance share."""

    home: HomeIdentity
    settings: Settings
    sealer: CookieSealer
    record: DuplicateRecord
    admission: Admission
    outlet: CallerOutlet
    counters: Counters
    invariants: Invariants
    clock_ms: Callable[[], float]
    generator: random.Random


@dataclass(frozen=True, slots=True)
class Arrival:
    """An authenticated packet of a caller and how it came."""

    packet: Packet
    cookie: Cookie | None
    customer: CustomerId
    caller: Endpoint
    forwarder: str

    @property
    def flow(self) -> FlowId:
        """Return the flow of the packet."""
        return FlowId(self.packet.flow_id)


class ServedUpstream(LinkListener):
    """Serve the flows of one upstream while this instance owns it."""

    def __init__(
        self,
        row: UpstreamRow,
        catalog: Catalog,
        parts: ServingParts,
    ) -> None:
        """Start without a link; ``attach`` gives one."""
        self.row = row
        self.catalog = catalog
        self.flows = FlowTable()
        self.requests: dict[RequestKey, ServedRequest] = {}
        self.is_owner = True
        self.incarnation: int = 0
        self._parts = parts
        self._link: UpstreamLink | None = None
        self._timers: list[tuple[float, int, RequestKey]] = []
        self._timer_number = 0
        self._unmoved: list[FlowId] = []
        queue = SchedulerOptions.from_settings(parts.settings.queue)
        now_ms = parts.clock_ms()
        self._scheduler = Scheduler(queue, row.slots, now_ms)
        self._budget = RetryBudget(parts.settings.queue.retry_ratio, now_ms)
        self._next_sweep_ms = now_ms

    def attach(self, link: UpstreamLink) -> None:
        """Set the link to the upstream."""
        self._link = link

    # Ownership

    def set_row(self, row: UpstreamRow, catalog: Catalog, now_ms: float) -> None:
        """Take a new published row."""
        if row.slots != self.row.slots:
            self._scheduler.set_slots(row.slots, now_ms)
        self.row = row
        self.catalog = catalog

    def retire(self, now_ms: float) -> None:
        """Stop starting work: fence what is queued and move the flows."""
        if not self.is_owner:
            return
        self.is_owner = False
        logger.info('upstream {}: ownership given up', self.row.name)
        self._unmoved = [row.flow for row in self.flows.rows.values() if row.is_home]
        for request in tuple(self.requests.values()):
            if request.state in {RequestState.RECEIVING, RequestState.QUEUED}:
                self._move_request(request, now_ms)

    def resume_ownership(self) -> None:
        """Serve again after ``retire``."""
        if not self.is_owner:
            logger.info('upstream {}: ownership taken up', self.row.name)
        self.is_owner = True
        self._unmoved = []

    @property
    def is_up(self) -> bool:
        """Return whether there is a link to the upstream."""
        return self._link is not None and self._link.is_up

    @property
    def is_drained(self) -> bool:
        """Return whether every request that came here has an ending."""
        states = {request.state for request in self.requests.values()}
        return not self._unmoved and states <= {RequestState.ANSWERED}

    @property
    def is_acknowledged(self) -> bool:
        """Return whether every answer has reached its caller."""
        return all(
            request.sender is not None and request.sender.is_complete
            for request in self.requests.values()
        )

    def load(self) -> UpstreamLoad:
        """Return the load that other instances choose by."""
        return UpstreamLoad(
            open_flows=len(self.flows),
            queued_requests=self._scheduler.queued(),
            running_requests=self._scheduler.running(),
            slots=self.row.slots,
            is_healthy=self.is_up,
        )

    # Packets of callers

    def handle(self, arrival: Arrival, now_ms: float) -> None:
        """Take one authenticated packet."""
        body = arrival.packet.WhichOneof('body')
        if body == 'open':
            self._handle_open(arrival, now_ms)
            return
        row = self._flow_of(arrival, now_ms)
        if row is None:
            return
        match body:
            case 'request':
                self._handle_request(row, arrival, now_ms)
            case 'keepalive':
                self._handle_keepalive(row, arrival, now_ms)
            case 'answer_ack':
                self._handle_answer_ack(row, arrival, now_ms)
            case 'push_ack':
                push_id = arrival.packet.push_ack.push_id
                ack = PushFrameAck(flow_id=row.flow, push_id=push_id)
                self._send_frame(UpstreamFrame(push_frame_ack=ack))
            case 'cancel':
                self._handle_cancel(row, arrival, now_ms)
            case 'close':
                self._count('flow.closed')
                self._drop_flow(row, now_ms)
            case _:
                self._count('packet.unexpected')

    def _flow_of(self, arrival: Arrival, now_ms: float) -> ServedFlow | None:
        cookie = arrival.cookie
        if cookie is None:
            self._count('packet.without_cookie')
            return None
        row = self.flows.rows.get(arrival.flow)
        if cookie.upstream_incarnation != self.incarnation and self.is_up:
            self._reset_unknown(arrival, Reason.REASON_UPSTREAM_GONE, now_ms)
            return None
        if row is None or not row.is_home or cookie.generation > row.generation:
            self._reset_unknown(arrival, Reason.REASON_HOME_GONE, now_ms)
            return None
        if cookie.generation != row.generation:
            self._handle_stale(row, arrival, now_ms)
            return None
        if arrival.packet.sequence > row.sequence:
            row.sequence = arrival.packet.sequence
            row.caller = arrival.caller
            row.seen_ms = now_ms
        return row

    def _handle_stale(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        """Let a request that began under an older generation finish here."""
        self._count('packet.stale_generation')
        packet = arrival.packet
        cookie = arrival.cookie
        generation = cookie.generation if cookie else 0
        match packet.WhichOneof('body'):
            case 'request':
                key = RequestKey(row.flow, RequestId(packet.request.request_id))
            case 'answer_ack':
                key = RequestKey(row.flow, RequestId(packet.answer_ack.request_id))
            case _:
                return
        request = self.requests.get(key)
        if request and request.generation == generation:
            if packet.WhichOneof('body') == 'request':
                self._handle_request(row, arrival, now_ms)
            else:
                self._handle_answer_ack(row, arrival, now_ms)
        elif request is None and packet.WhichOneof('body') == 'request':
            self._fence(row, key, generation, now_ms)

    def _fence(
        self,
        row: ServedFlow,
        key: RequestKey,
        generation: int,
        now_ms: float,
    ) -> None:
        """Answer ``Moved`` for a request that has not been started here."""
        if self._parts.record.fence(key, generation, now_ms):
            self._count('request.moved')
            moved = Moved(request_id=key.request)
            self._send(row, Packet(moved=moved), generation)

    def _reset_unknown(
        self,
        arrival: Arrival,
        reason: Reason.ValueType,
        now_ms: float,
    ) -> None:
        body = arrival.packet.WhichOneof('body')
        self._count(f'flow.reset.{Reason.Name(reason).lower()}')
        if body == 'close':
            return
        packet = Packet(flow_id=arrival.flow, reset=Reset(reason=reason))
        if arrival.cookie:
            packet.generation = arrival.cookie.generation
        self._parts.outlet.send(_guest(arrival, now_ms), packet)

    # Opening and moving flows

    def _handle_open(self, arrival: Arrival, now_ms: float) -> None:
        row = self.flows.rows.get(arrival.flow)
        if row and row.pending_generation:
            self._send_flow_open(row, now_ms)
            return
        if row and row.is_home and row.customer == arrival.customer:
            if arrival.packet.sequence > row.sequence:
                row.sequence = arrival.packet.sequence
                row.caller = arrival.caller
                row.seen_ms = now_ms
            self._send_opened(row, now_ms)
            return
        if not self.is_up:
            self._refuse(arrival, Reason.REASON_NO_UPSTREAM, RETRY_OPEN_MS, now_ms)
            return
        if self._is_gone(arrival.cookie):
            self._reset_unknown(arrival, Reason.REASON_UPSTREAM_GONE, now_ms)
            return
        self._open_flow(arrival, row, now_ms)

    def _is_gone(self, cookie: Cookie | None) -> bool:
        return cookie is not None and cookie.upstream_incarnation != self.incarnation

    def _open_flow(
        self,
        arrival: Arrival,
        row: ServedFlow | None,
        now_ms: float,
    ) -> None:
        if row is not None and row.customer != arrival.customer:
            self._count('open.foreign_flow')
            return
        permit = row.permit if row else None
        if arrival.cookie is None and permit is None:
            admitted = self._parts.admission.admit_flow(arrival.customer, now_ms)
            if isinstance(admitted, Failure):
                refusal = admitted.failure()
                self._count(f'open.refused.{arrival.customer}')
                self._refuse(arrival, refusal.reason, refusal.retry_after_ms, now_ms)
                return
            permit = admitted.unwrap()
        held = row.generation if row else 0
        known = arrival.cookie.generation if arrival.cookie else 0
        row = _guest(arrival, now_ms)
        row.permit = permit
        row.generation = held
        row.pending_generation = max(held, known) + 1
        self.flows.rows[arrival.flow] = row
        self._send_flow_open(row, now_ms)

    def _send_flow_open(self, row: ServedFlow, now_ms: float) -> None:
        row.seen_ms = now_ms
        record = row.record(row.pending_generation)
        opening = FlowOpen(flow=record, home=self._parts.home.instance)
        if not self._send_frame(UpstreamFrame(flow_open=opening)):
            self._count('open.without_link')

    def _handle_flow_opened(self, message: FlowOpened, now_ms: float) -> None:
        row = self.flows.rows.get(FlowId(message.flow_id))
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
        row.pong_ms = now_ms
        self._count('flow.opened' if row.generation == 1 else 'flow.resumed')
        self._send_opened(row, now_ms)
        if row.forwarder:
            self._parts.outlet.send_load(row.forwarder, self.row.name)

    def _handle_open_refused(
        self,
        row: ServedFlow,
        message: FlowOpened,
        now_ms: float,
    ) -> None:
        self._count('open.refused_by_upstream')
        row.pending_generation = 0
        row.generation = max(row.generation, message.held_generation)
        if message.refusal == Reason.REASON_STALE_GENERATION:
            # The caller sends the open again, then with a higher generation.
            return
        if message.refusal == Reason.REASON_UNKNOWN_FLOW:
            self._send(row, Packet(reset=Reset(reason=message.refusal)))
        else:
            refused = Refused(reason=message.refusal, retry_after_ms=RETRY_OPEN_MS)
            self._send(row, Packet(refused=refused))
        self.flows.rows.pop(row.flow, None)
        self._release(row.permit, now_ms)

    def _send_opened(self, row: ServedFlow, now_ms: float) -> None:
        opened = Opened(
            upstream=self.row.name,
            generation=row.generation,
            keepalive_ms=int(self._parts.settings.flow.keepalive_ms),
        )
        self._send_cookie(row, Packet(opened=opened), now_ms)

    def _send_cookie(self, row: ServedFlow, packet: Packet, now_ms: float) -> None:
        home = self._parts.home
        cookie = Cookie(
            service=self.row.service,
            upstream=self.row.name,
            upstream_incarnation=self.incarnation,
            failure_domain=self.row.domain,
            customer=row.customer,
            home=home.instance,
            home_incarnation=home.incarnation,
            generation=row.generation,
            issued_ms=int(now_ms),
        )
        try:
            packet.cookie = self._parts.sealer.seal(row.flow, cookie)
        except LookupError:
            self._count('cookie.no_key')
            return
        self._send(row, packet)

    def _refuse(
        self,
        arrival: Arrival,
        reason: Reason.ValueType,
        retry_after_ms: float,
        now_ms: float,
    ) -> None:
        self._count('open.refused')
        refused = Refused(reason=reason, retry_after_ms=int(retry_after_ms))
        guest = _guest(arrival, now_ms)
        self._parts.outlet.send(guest, Packet(flow_id=guest.flow, refused=refused))
        if arrival.forwarder:
            self._parts.outlet.send_load(arrival.forwarder, self.row.name)

    def _drop_flow(self, row: ServedFlow, now_ms: float) -> None:
        self.flows.rows.pop(row.flow, None)
        self._release(row.permit, now_ms)
        closing = FlowClose(flow_id=row.flow, generation=row.generation)
        self._send_frame(UpstreamFrame(flow_close=closing))
        for request in tuple(self.requests.values()):
            if request.key.flow == row.flow:
                self._abandon(request, now_ms)

    def _abandon(self, request: ServedRequest, now_ms: float) -> None:
        ending = _not_run(Reason.REASON_CANCELLED, 0)
        if request.state is RequestState.RUNNING:
            self._cancel_run(request, now_ms)
            status = AnswerStatus.ANSWER_STATUS_UNKNOWN
            ending = Ending(status, Reason.REASON_CANCELLED)
        elif request.state is RequestState.QUEUED:
            self._scheduler.cancel(request.key, now_ms)
        if request.state is not RequestState.ANSWERED:
            self._end(request, ending, now_ms)

    # Keepalives

    def _handle_keepalive(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        first_open = RequestId(arrival.packet.keepalive.first_open_request_id)
        self._parts.record.finish_below(row.flow, first_open, now_ms)
        if not self.is_owner:
            self._send(row, Packet(moved=Moved()))
        silence_ms = now_ms - row.pong_ms
        if silence_ms > self._parts.settings.entrance.silence_ms:
            self._count('flow.upstream_silent')
            self._send(row, Packet(reset=Reset(reason=Reason.REASON_LINK_LOST)))
        ping = FlowPing(flow=row.record(row.generation))
        self._send_frame(UpstreamFrame(flow_ping=ping))
        issued_ms = arrival.cookie.issued_ms if arrival.cookie else 0
        lifetime_ms = self._parts.settings.flow.cookie_lifetime_ms
        if self.is_owner and now_ms - issued_ms > lifetime_ms / 2:
            self._send_cookie(row, Packet(refresh=Refresh()), now_ms)

    def _handle_pong(
        self, flow: FlowId, refusal: Reason.ValueType, now_ms: float
    ) -> None:
        row = self.flows.rows.get(flow)
        if row is None or not row.is_home:
            return
        if refusal == Reason.REASON_UNKNOWN_FLOW:
            self._count('flow.unknown_at_upstream')
            self._send(row, Packet(reset=Reset(reason=refusal)))
            self._drop_flow(row, now_ms)
            return
        if refusal:
            self._lose_flow(row, now_ms)
            return
        row.pong_ms = now_ms
        self._send(
            row, Packet(keepalive_answer=KeepaliveAnswer(is_from_upstream=True))
        )

    def _lose_flow(self, row: ServedFlow, now_ms: float) -> None:
        self._count('flow.moved_away')
        row.is_home = False
        self._release(row.permit, now_ms)
        row.permit = None
        for request in tuple(self.requests.values()):
            if request.key.flow != row.flow:
                continue
            if request.state in {RequestState.RECEIVING, RequestState.QUEUED}:
                self._move_request(request, now_ms)

    # Requests

    def _handle_request(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        message = arrival.packet.request
        key = RequestKey(row.flow, RequestId(message.request_id))
        first_open = RequestId(message.first_open_request_id)
        self._parts.record.finish_below(row.flow, first_open, now_ms)
        request = self.requests.get(key)
        if request is None:
            request = self._begin(row, key, arrival, now_ms)
        if request is None:
            return
        if request.state is RequestState.ANSWERED:
            self._send_answer(request, now_ms)
            return
        if request.state is RequestState.RECEIVING:
            self._receive(request, message, now_ms)
        self._acknowledge(row, request)

    def _begin(
        self,
        row: ServedFlow,
        key: RequestKey,
        arrival: Arrival,
        now_ms: float,
    ) -> ServedRequest | None:
        message = arrival.packet.request
        if not _is_sound(message, self._parts.settings):
            self._count('request.malformed')
            return None
        verdict = self._parts.record.look_up(key, row.generation)
        if verdict is Verdict.FINISHED or verdict is Verdict.ANSWERED:
            self._count('request.duplicate_of_finished')
            return None
        if verdict is Verdict.FENCED or not self.is_owner:
            self._fence(row, key, row.generation, now_ms)
            return None
        if verdict is Verdict.NEW and self._is_too_old(arrival.cookie, now_ms):
            self._count('request.refreshed')
            refresh = Refresh(request_id=key.request)
            self._send_cookie(row, Packet(refresh=refresh), now_ms)
            return None
        self._parts.record.begin(key, row.generation, now_ms)
        return self._admit(row, key, message, now_ms)

    def _is_too_old(self, cookie: Cookie | None, now_ms: float) -> bool:
        lifetime_ms = self._parts.settings.flow.cookie_lifetime_ms
        return cookie is None or now_ms - cookie.issued_ms > lifetime_ms

    def _admit(
        self,
        row: ServedFlow,
        key: RequestKey,
        message: Request,
        now_ms: float,
    ) -> ServedRequest:
        longest_ms = self._parts.settings.flow.longest_timeout_ms
        request = ServedRequest.begin(
            key,
            row.generation,
            row.customer,
            message,
            now_ms,
        )
        request.deadline_ms = now_ms + min(message.timeout_ms, longest_ms)
        self.requests[key] = request
        self._schedule(request, request.deadline_ms)
        self._count('request.begun')
        self._budget.deposit(now_ms)
        admitted = self._parts.admission.admit_request(
            row.customer,
            message.total_bytes,
            now_ms,
        )
        if isinstance(admitted, Failure):
            refusal = admitted.failure()
            self._end(
                request, _not_run(refusal.reason, refusal.retry_after_ms), now_ms
            )
        else:
            request.permit = admitted.unwrap()
        return request

    def _receive(self, request: ServedRequest, message: Request, now_ms: float) -> None:
        request.body.add(message.chunk_index, message.payload)
        if not request.body.is_complete:
            return
        body = request.body.body()
        if len(body) != request.total_bytes:
            self._count('request.malformed')
            self._end(request, _not_run(Reason.REASON_TOO_LARGE, 0), now_ms)
            return
        plan = self.catalog.plan_of(request.customer)
        work = Work(
            key=request.key,
            customer=request.customer,
            service_class=request.service_class,
            size_bytes=len(body),
            deadline_ms=request.deadline_ms,
            weight=plan.weight if plan else 1,
            is_idempotent=request.is_idempotent,
            payload=body,
        )
        submitted = self._scheduler.submit(work, now_ms)
        if isinstance(submitted, Failure):
            refusal = submitted.failure()
            ending = _not_run(refusal.reason, refusal.retry_after_ms)
            self._end(request, ending, now_ms)
            return
        request.state = RequestState.QUEUED
        self._start_work(now_ms)

    def _acknowledge(self, row: ServedFlow, request: ServedRequest) -> None:
        ack = RequestAck(
            request_id=request.key.request,
            next_chunk_index=request.body.next_index,
            received_bitmap=request.body.bitmap(),
        )
        self._send(row, Packet(request_ack=ack), request.generation)

    def _start_work(self, now_ms: float) -> None:
        if not self.is_up or not self.is_owner:
            return
        for work in self._scheduler.start(now_ms):
            self._run(work, now_ms)

    def _run(self, work: Work, now_ms: float) -> None:
        request = self.requests.get(work.key)
        row = self.flows.rows.get(work.key.flow)
        # The clock is read again: the process may have been paused since now_ms.
        fresh_ms = max(now_ms, self._parts.clock_ms())
        if request is None or request.state is not RequestState.QUEUED:
            self._scheduler.finish(work.key, Outcome.NOT_RUN, fresh_ms)
            return
        if row is None or not row.is_home or fresh_ms >= request.deadline_ms:
            self._scheduler.finish(work.key, Outcome.NOT_RUN, fresh_ms)
            reason = Reason.REASON_DEADLINE_EXCEEDED
            self._end(request, _not_run(reason, 0), fresh_ms)
            return
        self._check_run(request)
        request.state = RequestState.RUNNING
        self._count('request.run')
        self._parts.counters.time_ms('request.wait', fresh_ms - request.begun_ms)
        for frame in _run_frames(request, row, work, fresh_ms):
            self._send_frame(UpstreamFrame(run_request=frame), request.service_class)

    def _check_run(self, request: ServedRequest) -> None:
        invariants = self._parts.invariants
        verdict = self._parts.record.look_up(request.key, request.generation)
        invariants.check(
            'run_is_recorded',
            verdict is Verdict.RUNNING,
            f'request {request.key.request} runs while the record says {verdict}',
        )
        published = self.catalog.upstreams.get(self.row.name)
        invariants.check(
            'upstream_of_service',
            published is None or published.service == self.row.service,
            f'upstream {self.row.name} serves another service',
        )

    def _handle_shed(self, message: RunShed, now_ms: float) -> None:
        key = RequestKey(FlowId(message.flow_id), RequestId(message.request_id))
        request = self.requests.get(key)
        if request is None or request.state is not RequestState.RUNNING:
            return
        self._count('request.shed')
        if message.reason == Reason.REASON_STALE_GENERATION:
            self._scheduler.finish(key, Outcome.NOT_RUN, now_ms)
            self._move_request(request, now_ms)
            return
        if message.reason == Reason.REASON_CANCELLED:
            self._scheduler.finish(key, Outcome.NOT_RUN, now_ms)
            self._end(request, _not_run(Reason.REASON_CANCELLED, 0), now_ms)
            return
        self._retry_shed(request, message, now_ms)

    def _retry_shed(
        self,
        request: ServedRequest,
        message: RunShed,
        now_ms: float,
    ) -> None:
        request.resends += 1
        wait_ms = backoff_ms(
            request.resends,
            SHED_BACKOFF_MS,
            LONGEST_SHED_BACKOFF_MS,
            self._parts.generator,
        )
        due_ms = now_ms + max(wait_ms, message.retry_after_ms)
        work = self._scheduler.finish(request.key, Outcome.SHED, now_ms)
        can_retry = (
            work is not None
            and self.is_owner
            and due_ms < request.deadline_ms
            and self._budget.withdraw(now_ms)
        )
        if work is not None and can_retry:
            request.state = RequestState.QUEUED
            self._count('request.retried')
            self._scheduler.requeue(work, due_ms, now_ms)
            return
        ending = _not_run(Reason.REASON_SHED, message.retry_after_ms)
        self._end(request, ending, now_ms)

    def _handle_cancel(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        key = RequestKey(row.flow, RequestId(arrival.packet.cancel.request_id))
        request = self.requests.get(key)
        if request is None:
            self._cancel_unseen(row, key, now_ms)
            return
        self._count('request.cancelled')
        self._abandon(request, now_ms)

    def _cancel_unseen(self, row: ServedFlow, key: RequestKey, now_ms: float) -> None:
        # The fence keeps a later copy of the request from being started.
        if not self._parts.record.fence(key, row.generation, now_ms):
            return
        answer = Answer(
            request_id=key.request,
            status=AnswerStatus.ANSWER_STATUS_NOT_RUN,
            reason=Reason.REASON_CANCELLED,
            chunk_count=1,
        )
        self._send(row, Packet(answer=answer))

    def _cancel_run(self, request: ServedRequest, now_ms: float) -> None:
        self._scheduler.finish(request.key, Outcome.CANCELLED, now_ms)
        cancel = CancelRun(flow_id=request.key.flow, request_id=request.key.request)
        # Same class as the request, so that it does not overtake its chunks.
        self._send_frame(UpstreamFrame(cancel_run=cancel), request.service_class)

    def _move_request(self, request: ServedRequest, now_ms: float) -> None:
        if request.state is RequestState.QUEUED:
            self._scheduler.cancel(request.key, now_ms)
        self._parts.record.fence_queued(request.key, request.generation, now_ms)
        self._release(request.permit, now_ms)
        self.requests.pop(request.key, None)
        self._count('request.moved')
        row = self.flows.rows.get(request.key.flow)
        if row:
            moved = Moved(request_id=request.key.request)
            self._send(row, Packet(moved=moved), request.generation)

    # Answers

    def _end(self, request: ServedRequest, ending: Ending, now_ms: float) -> None:
        if request.state is RequestState.ANSWERED:
            return
        is_not_run = ending.status == AnswerStatus.ANSWER_STATUS_NOT_RUN
        if is_not_run and request.is_run_lost:
            ending = Ending(AnswerStatus.ANSWER_STATUS_UNKNOWN, ending.reason)
        status = AnswerStatus.Name(ending.status).removeprefix('ANSWER_STATUS_')
        self._count(f'request.{status.lower()}')
        self._count_objective(request, ending, now_ms)
        request.end(ending, now_ms + ANSWER_RETENTION_MS)
        request.resends = 0
        self._release(request.permit, now_ms)
        request.permit = None
        self._parts.record.answer(request.key, request.generation, now_ms)
        self._send_answer(request, now_ms)
        self._schedule_resend(request, now_ms)
        self._start_work(now_ms)

    def _count_objective(
        self, request: ServedRequest, ending: Ending, now_ms: float
    ) -> None:
        service = self.row.service
        objective = self.catalog.objectives.get((service, request.service_class))
        took_ms = now_ms - request.begun_ms
        self._parts.counters.time_ms(f'request.took.{service}', took_ms)
        if objective is None or ending.reason == Reason.REASON_CANCELLED:
            return
        # Refusals over the customer's own plan say nothing about the service.
        if ending.reason == Reason.REASON_OVER_ALLOWANCE:
            return
        is_done = ending.status == AnswerStatus.ANSWER_STATUS_DONE
        is_good = is_done and took_ms <= objective.latency_ms
        name = request.service_class.name.lower()
        event = 'good' if is_good else 'bad'
        self._count(f'sli.{service}.{request.customer}.{name}.{event}')

    def _send_answer(self, request: ServedRequest, now_ms: float) -> None:
        row = self.flows.rows.get(request.key.flow)
        if row is None or request.sender is None:
            return
        for index in tuple(request.sender.missing(ANSWER_WINDOW_CHUNKS)):
            answer = request.answer_chunk(index)
            self._send(row, Packet(answer=answer), request.generation)

    def _handle_answer_ack(
        self,
        row: ServedFlow,
        arrival: Arrival,
        now_ms: float,
    ) -> None:
        message = arrival.packet.answer_ack
        request = self.requests.get(
            RequestKey(row.flow, RequestId(message.request_id)),
        )
        if request is None or request.sender is None:
            return
        before = request.sender.next_index
        request.sender.acknowledge(message.next_chunk_index, message.received_bitmap)
        if request.sender.is_complete:
            self.requests.pop(request.key, None)
        elif request.sender.next_index > before:
            self._send_answer_from(row, request, before + ANSWER_WINDOW_CHUNKS)

    def _send_answer_from(
        self,
        row: ServedFlow,
        request: ServedRequest,
        start: int,
    ) -> None:
        if request.sender is None:
            return
        for index in tuple(request.sender.missing(ANSWER_WINDOW_CHUNKS)):
            if index >= start:
                answer = request.answer_chunk(index)
                self._send(row, Packet(answer=answer), request.generation)

    # Link events

    def handle_up(self, hello: Hello) -> None:
        """Take the first frame of a new connection."""
        now_ms = self._parts.clock_ms()
        if hello.service != self.row.service or hello.upstream != self.row.name:
            self._count('link.wrong_upstream')
            logger.error(
                'upstream {} of {} introduced itself as {} of {}',
                self.row.name,
                self.row.service,
                hello.upstream,
                hello.service,
            )
            self.incarnation = 0
            return
        if hello.incarnation != self.incarnation:
            self._forget_incarnation(now_ms)
            self.incarnation = hello.incarnation
        logger.info('upstream {} is up', self.row.name)
        self._count('link.up')

    def handle_frame(self, frame: UpstreamFrame) -> None:
        """Take a later frame of the upstream."""
        now_ms = self._parts.clock_ms()
        if not self.incarnation:
            self._count('link.frame_of_wrong_upstream')
            return
        match frame.WhichOneof('body'):
            case 'run_answer':
                self._handle_run_answer(frame, now_ms)
            case 'run_shed':
                self._handle_shed(frame.run_shed, now_ms)
            case 'push_frame':
                self._handle_push(frame, now_ms)
            case 'flow_pong':
                pong = frame.flow_pong
                self._handle_pong(FlowId(pong.flow_id), pong.refusal, now_ms)
            case 'flow_opened':
                self._handle_flow_opened(frame.flow_opened, now_ms)
            case 'flow_list':
                for record in frame.flow_list.flows:
                    self.flows.add_listed(record, now_ms)
            case 'load_report':
                self._parts.counters.set_gauge(
                    f'upstream.{self.row.name}.reported_running',
                    frame.load_report.load.running_requests,
                )
            case 'flow_close':
                self._handle_upstream_close(FlowId(frame.flow_close.flow_id), now_ms)
            case _:
                self._count('link.unexpected_frame')
        self._start_work(now_ms)

    def handle_down(self) -> None:
        """Learn that the connection is gone; running requests are unknown."""
        now_ms = self._parts.clock_ms()
        logger.warning('upstream {} is down', self.row.name)
        self._count('link.down')
        for request in tuple(self.requests.values()):
            if request.state is RequestState.RUNNING:
                self._lose_run(request, now_ms)

    def _lose_run(self, request: ServedRequest, now_ms: float) -> None:
        work = self._scheduler.finish(request.key, Outcome.LOST, now_ms)
        request.result = None
        request.is_run_lost = True
        if request.is_idempotent and work is not None and self.is_owner:
            request.state = RequestState.QUEUED
            self._scheduler.requeue(work, now_ms, now_ms)
            return
        status = AnswerStatus.ANSWER_STATUS_UNKNOWN
        self._end(request, Ending(status, Reason.REASON_LINK_LOST), now_ms)

    def _forget_incarnation(self, now_ms: float) -> None:
        for row in tuple(self.flows.rows.values()):
            if row.is_home:
                reset = Reset(reason=Reason.REASON_UPSTREAM_GONE)
                self._send(row, Packet(reset=reset))
            self._drop_flow(row, now_ms)

    def _handle_run_answer(self, frame: UpstreamFrame, now_ms: float) -> None:
        message = frame.run_answer
        key = RequestKey(FlowId(message.flow_id), RequestId(message.request_id))
        request = self.requests.get(key)
        if request is None or request.state is not RequestState.RUNNING:
            self._count('answer.late')
            return
        if not 0 < message.chunk_count <= LARGEST_ANSWER_CHUNKS:
            self._count('answer.malformed')
            return
        if not request.add_result(message) or request.result is None:
            return
        body = request.result.body()
        self._scheduler.finish(key, Outcome.DONE, now_ms)
        status = AnswerStatus.ANSWER_STATUS_DONE
        self._end(request, Ending(status, body=body), now_ms)

    def _handle_push(self, frame: UpstreamFrame, now_ms: float) -> None:
        message = frame.push_frame
        row = self.flows.rows.get(FlowId(message.flow_id))
        if row is None:
            self._count('push.unknown_flow')
            return
        self._count('push.sent')
        push = Push(push_id=message.push_id, payload=message.payload)
        self._send(row, Packet(push=push))

    def _handle_upstream_close(self, flow: FlowId, now_ms: float) -> None:
        row = self.flows.rows.get(flow)
        if row is None:
            return
        self._count('flow.closed_by_upstream')
        if row.is_home:
            reset = Reset(reason=Reason.REASON_UNKNOWN_FLOW)
            self._send(row, Packet(reset=reset))
        self._drop_flow(row, now_ms)

    # Time

    def tick(self, now_ms: float) -> None:
        """Do what is due: resends, deadlines, expiry, moves."""
        for work in tuple(self._scheduler.expire(now_ms)):
            request = self.requests.get(work.key)
            if request and request.state is RequestState.QUEUED:
                reason = Reason.REASON_DEADLINE_EXCEEDED
                self._end(request, _not_run(reason, 0), now_ms)
        self._fire_timers(now_ms)
        self._start_work(now_ms)
        self._send_moves()
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + LONGEST_RESEND_MS
            self._sweep(now_ms)

    def _sweep(self, now_ms: float) -> None:
        limit_ms = now_ms - self._parts.settings.flow.flow_idle_ms
        for row in self.flows.idle_since(limit_ms):
            self._count('flow.idle')
            if row.is_home:
                self._drop_flow(row, now_ms)
            else:
                self.flows.rows.pop(row.flow, None)
                self._release(row.permit, now_ms)

    def _send_moves(self) -> None:
        for flow in self._unmoved[:MOVED_PER_TICK]:
            row = self.flows.rows.get(flow)
            if row and row.is_home:
                self._send(row, Packet(moved=Moved()))
        self._unmoved = self._unmoved[MOVED_PER_TICK:]

    def _fire_timers(self, now_ms: float) -> None:
        while self._timers and self._timers[0][0] <= now_ms:
            _due_ms, _number, key = heapq.heappop(self._timers)
            request = self.requests.get(key)
            if request is not None:
                self._fire(request, now_ms)

    def _fire(self, request: ServedRequest, now_ms: float) -> None:
        if request.state is RequestState.ANSWERED:
            if now_ms >= request.forget_ms:
                self.requests.pop(request.key, None)
                self._count('answer.unacknowledged')
                return
            self._send_answer(request, now_ms)
            request.resends += 1
            self._schedule_resend(request, now_ms)
        elif now_ms < request.deadline_ms:
            self._schedule(request, request.deadline_ms)
        elif request.state is RequestState.RUNNING:
            self._expire_run(request, now_ms)
        else:
            self._scheduler.cancel(request.key, now_ms)
            reason = Reason.REASON_DEADLINE_EXCEEDED
            self._end(request, _not_run(reason, 0), now_ms)

    def _expire_run(self, request: ServedRequest, now_ms: float) -> None:
        # The upstream stops at the deadline by itself; its answer may be on the
        # way.
        if now_ms < request.deadline_ms + RUNNING_GRACE_MS:
            self._schedule(request, request.deadline_ms + RUNNING_GRACE_MS)
            return
        self._cancel_run(request, now_ms)
        status = AnswerStatus.ANSWER_STATUS_UNKNOWN
        reason = Reason.REASON_DEADLINE_EXCEEDED
        self._end(request, Ending(status, reason), now_ms)

    def _schedule_resend(self, request: ServedRequest, now_ms: float) -> None:
        wait_ms = self._parts.settings.flow.resend_ms * 2**request.resends
        self._schedule(request, now_ms + min(wait_ms, LONGEST_RESEND_MS))

    def _schedule(self, request: ServedRequest, due_ms: float) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (due_ms, self._timer_number, request.key))

    # Plumbing

    def _send(self, row: ServedFlow, packet: Packet, generation: int = 0) -> None:
        packet.flow_id = row.flow
        packet.generation = generation or row.generation
        self._parts.outlet.send(row, packet)

    def _send_frame(
        self,
        frame: UpstreamFrame,
        service_class: ServiceClass = ServiceClass.URGENT,
    ) -> bool:
        return self._link is not None and self._link.send(frame, service_class)

    def _release(self, permit: Permit | None, now_ms: float) -> None:
        if permit is not None:
            self._parts.admission.release(permit, now_ms)

    def _count(self, name: str) -> None:
        self._parts.counters.add(name)


def _guest(arrival: Arrival, now_ms: float) -> ServedFlow:
    return ServedFlow(
        flow=arrival.flow,
        customer=arrival.customer,
        caller=arrival.caller,
        sequence=arrival.packet.sequence,
        generation=0,
        seen_ms=now_ms,
        pong_ms=now_ms,
        forwarder=arrival.forwarder,
    )


def _not_run(reason: Reason.ValueType, retry_after_ms: float) -> Ending:
    return Ending(AnswerStatus.ANSWER_STATUS_NOT_RUN, reason, retry_after_ms)


def _is_sound(message: Request, settings: Settings) -> bool:
    largest = settings.flow.largest_request_bytes
    expected = max(1, -(-message.total_bytes // codec.CHUNK_BYTES))
    return (
        message.total_bytes <= largest
        and message.chunk_count == expected
        and message.chunk_index < message.chunk_count
        and message.service_class in ServiceClass
    )


def _run_frames(
    request: ServedRequest,
    row: ServedFlow,
    work: Work,
    now_ms: float,
) -> Iterator[RunRequest]:
    body = work.payload if isinstance(work.payload, bytes) else b''
    starts = range(0, max(len(body), 1), BODY_CHUNK_BYTES)
    for index, start in enumerate(starts):
        yield RunRequest(
            flow_id=request.key.flow,
            generation=row.generation,
            request_id=request.key.request,
            timeout_ms=max(1, int(request.deadline_ms - now_ms)),
            chunk_index=index,
            chunk_count=len(starts),
            payload=body[start : start + BODY_CHUNK_BYTES],
            is_idempotent=request.is_idempotent,
            service_class=request.service_class.value,
        )
