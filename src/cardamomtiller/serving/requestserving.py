"""Receive, schedule, run and answer the requests of one upstream."""

import heapq
from collections.abc import Iterator

from returns.result import Failure

from cardamomtiller.datagrams import codec
from cardamomtiller.identity import FlowId, Outcome, RequestId, RequestKey, ServiceClass
from cardamomtiller.queueing.scheduler import Scheduler
from cardamomtiller.queueing.work import QueueOptions, Work
from cardamomtiller.serving.flowtable import ServedFlow
from cardamomtiller.serving.home import Home, ReceivedPacket
from cardamomtiller.serving.link import BODY_CHUNK_BYTES
from cardamomtiller.serving.record import RecordState
from cardamomtiller.serving.request import (
    MAX_ANSWER_CHUNKS,
    Completion,
    RequestState,
    ServedRequest,
)
from cardamomtiller.serving.retry import RetryBudget, backoff_ms
from cardamomtiller.settings_pb2 import Settings
from cardamomtiller.wire_pb2 import (
    Answer,
    AnswerStatus,
    CancelRun,
    Cookie,
    Moved,
    Packet,
    Reason,
    Refresh,
    Request,
    RequestAck,
    RunAnswer,
    RunRequest,
    RunShed,
    UpstreamFrame,
)

ANSWER_WINDOW_CHUNKS = 32
ANSWER_RETENTION_MS = 10_000
MAX_RESEND_MS = 1000
RUNNING_GRACE_MS = 50
RETRIES_PER_S = 10
SERVICE_CLASSES = frozenset(member.value for member in ServiceClass)


class RequestServer:
    """
    Process the requests of one upstream.

    The duplicate record keeps a non-idempotent request from running more than
    once, also when the flow moves to another home.
    """

    def __init__(self, home: Home) -> None:
        """Create the server with the scheduler of the upstream."""
        self.requests: dict[RequestKey, ServedRequest] = {}
        self._home = home
        self._timers: list[tuple[float, int, RequestKey]] = []
        self._timer_number = 0
        now_ms = home.context.clock_ms()
        queue = home.context.settings.queue
        options = QueueOptions.from_settings(queue)
        self.scheduler = Scheduler(options, home.row.slots, now_ms)
        self._retry_budget = RetryBudget(queue.retry_ratio, RETRIES_PER_S, now_ms)

    @property
    def is_drained(self) -> bool:
        """Return whether every request has been answered."""
        states = {request.state for request in self.requests.values()}
        return states <= {RequestState.ANSWERED}

    @property
    def is_acknowledged(self) -> bool:
        """Return whether every answer has been acknowledged by its caller."""
        return all(
            request.sender is not None and request.sender.is_complete
            for request in self.requests.values()
        )

    def retire(self, now_ms: float) -> None:
        """Move the requests that were not started; running requests continue."""
        self._move_unstarted(tuple(self.requests.values()), now_ms)

    def move_requests_of_flow(self, flow_id: FlowId, now_ms: float) -> None:
        """Move the requests of a flow that were not started."""
        self._move_unstarted(self._requests_of_flow(flow_id), now_ms)

    def cancel_requests_of_flow(self, flow_id: FlowId, now_ms: float) -> None:
        """Cancel all requests of a closed flow."""
        for request in self._requests_of_flow(flow_id):
            self._cancel_request(request, now_ms)

    def _requests_of_flow(self, flow_id: FlowId) -> tuple[ServedRequest, ...]:
        requests = self.requests.values()
        return tuple(request for request in requests if request.key.flow == flow_id)

    def _move_unstarted(
        self,
        requests: tuple[ServedRequest, ...],
        now_ms: float,
    ) -> None:
        for request in requests:
            if request.state in {RequestState.RECEIVING, RequestState.QUEUED}:
                self._move_request(request, now_ms)

    def finish_below(
        self,
        flow_id: FlowId,
        first_open_id: RequestId,
        now_ms: float,
    ) -> None:
        """
        Discard the requests that the caller reports as finished.

        This includes requests that the caller abandoned without receiving an
        answer. The caller may have sent such a request again, so a queued one
        must not run any more.
        """
        record = self._home.context.record
        for key in record.finish_below(flow_id, first_open_id, now_ms):
            request = self.requests.get(key)
            if request is None or request.state is RequestState.RUNNING:
                continue
            self.scheduler.cancel(key, now_ms)
            self._home.release(request.permit, now_ms)
            self.requests.pop(key)
            if request.state is not RequestState.ANSWERED:
                self._home.count('request.given_up')

    def handle_request(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        """Handle a chunk of a request."""
        message = received.packet.request
        key = RequestKey(flow.flow_id, RequestId(message.request_id))
        first_open_id = RequestId(message.first_open_request_id)
        self.finish_below(flow.flow_id, first_open_id, now_ms)
        request = self.requests.get(key)
        if request is None:
            request = self._begin(flow, key, received, now_ms)
        if request is None:
            return
        if request.state is RequestState.ANSWERED:
            self._send_answer(request, now_ms)
            return
        if request.state is RequestState.RECEIVING:
            self._receive_chunk(request, message, now_ms)
        self._acknowledge(flow, request)

    def handle_stale(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        """Handle a packet of an older generation; its running requests finish here."""
        self._home.count('packet.stale_generation')
        packet = received.packet
        cookie = received.cookie
        generation = cookie.generation if cookie else 0
        match packet.WhichOneof('body'):
            case 'request':
                key = RequestKey(flow.flow_id, RequestId(packet.request.request_id))
            case 'answer_ack':
                key = RequestKey(flow.flow_id, RequestId(packet.answer_ack.request_id))
            case _:
                return
        request = self.requests.get(key)
        if request and request.generation == generation:
            if packet.WhichOneof('body') == 'request':
                self.handle_request(flow, received, now_ms)
            else:
                self.handle_answer_ack(flow, received, now_ms)
        elif request is None and packet.WhichOneof('body') == 'request':
            self._fence(flow, key, generation, now_ms)

    def _fence(
        self,
        flow: ServedFlow,
        key: RequestKey,
        generation: int,
        now_ms: float,
    ) -> None:
        """Fence a request that was not started here, and answer ``Moved``."""
        if self._home.context.record.fence(key, generation, now_ms):
            self._home.count('request.moved')
            moved = Moved(request_id=key.request)
            self._home.send(flow, Packet(moved=moved), generation)

    def _begin(
        self,
        flow: ServedFlow,
        key: RequestKey,
        received: ReceivedPacket,
        now_ms: float,
    ) -> ServedRequest | None:
        message = received.packet.request
        if not _is_valid(message, self._home.settings):
            self._home.count('request.malformed')
            return None
        record_state = self._home.context.record.look_up(key, flow.generation)
        if record_state is RecordState.FINISHED or record_state is RecordState.ANSWERED:
            self._home.count('request.duplicate_of_finished')
            return None
        if record_state is RecordState.FENCED or not self._home.is_owner:
            self._fence(flow, key, flow.generation, now_ms)
            return None
        if record_state is RecordState.NEW and self._is_too_old(
            received.cookie, now_ms
        ):
            self._home.count('request.refreshed')
            refresh = Refresh(request_id=key.request)
            self._home.send_cookie(flow, Packet(refresh=refresh), now_ms)
            return None
        self._home.context.record.begin(key, flow.generation, now_ms)
        return self._admit(flow, key, message, now_ms)

    def _is_too_old(self, cookie: Cookie | None, now_ms: float) -> bool:
        lifetime_ms = self._home.settings.flow.cookie_lifetime_ms
        return cookie is None or now_ms - cookie.issued_ms > lifetime_ms

    def _admit(
        self,
        flow: ServedFlow,
        key: RequestKey,
        message: Request,
        now_ms: float,
    ) -> ServedRequest:
        max_timeout_ms = self._home.settings.flow.longest_timeout_ms
        request = ServedRequest.from_message(
            key,
            flow.generation,
            flow.customer,
            message,
            now_ms,
        )
        request.deadline_ms = now_ms + min(message.timeout_ms, max_timeout_ms)
        self.requests[key] = request
        self._schedule(request, request.deadline_ms)
        self._home.count('request.begun')
        self._retry_budget.deposit(now_ms)
        admitted = self._home.context.admission.admit_request(
            flow.customer,
            message.total_bytes,
            now_ms,
        )
        if isinstance(admitted, Failure):
            refusal = admitted.failure()
            self._complete(
                request, _not_run(refusal.reason, refusal.retry_after_ms), now_ms
            )
        else:
            request.permit = admitted.unwrap()
        return request

    def _receive_chunk(
        self, request: ServedRequest, message: Request, now_ms: float
    ) -> None:
        request.body.add(message.chunk_index, message.payload)
        if not request.body.is_complete:
            return
        body = request.body.body()
        if len(body) != request.total_bytes:
            self._home.count('request.malformed')
            self._complete(request, _not_run(Reason.REASON_TOO_LARGE, 0), now_ms)
            return
        plan = self._home.catalog.find_plan(request.customer)
        work = Work(
            request=request.key,
            customer=request.customer,
            service_class=request.service_class,
            size_bytes=len(body),
            deadline_ms=request.deadline_ms,
            weight=plan.weight if plan else 1,
            is_idempotent=request.is_idempotent,
            payload=body,
        )
        request.work = work
        submitted = self.scheduler.submit(work, now_ms)
        if isinstance(submitted, Failure):
            refusal = submitted.failure()
            completion = _not_run(refusal.reason, refusal.retry_after_ms)
            self._complete(request, completion, now_ms)
            return
        request.state = RequestState.QUEUED
        self.start_work(now_ms)

    def _acknowledge(self, flow: ServedFlow, request: ServedRequest) -> None:
        request_ack = RequestAck(
            request_id=request.key.request,
            next_chunk_index=request.body.next_index,
            received_bitmap=request.body.bitmap(),
        )
        self._home.send(flow, Packet(request_ack=request_ack), request.generation)

    def start_work(self, now_ms: float) -> None:
        """Send the requests to the upstream that the scheduler has slots for."""
        if not self._home.is_up or not self._home.is_owner:
            return
        for work in self.scheduler.start(now_ms):
            self._run(work, now_ms)

    def _run(self, work: Work, now_ms: float) -> None:
        request = self.requests.get(work.request)
        flow = self._home.flows_by_id.get(work.request.flow)
        # The process may have been paused since now_ms, so the clock is read again.
        current_ms = max(now_ms, self._home.context.clock_ms())
        if request is None or request.state is not RequestState.QUEUED:
            self.scheduler.finish(work.request, Outcome.CANCELLED, current_ms)
            return
        if flow is None or not flow.is_home or current_ms >= request.deadline_ms:
            self.scheduler.finish(work.request, Outcome.CANCELLED, current_ms)
            reason = Reason.REASON_DEADLINE_EXCEEDED
            self._complete(request, _not_run(reason, 0), current_ms)
            return
        self._check_run_invariants(request)
        request.state = RequestState.RUNNING
        request.run_started_ms = current_ms
        self._home.count('request.run')
        self._home.context.counters.record_timing_ms(
            'request.wait', current_ms - request.begun_ms
        )
        for frame in _run_frames(request, flow, work, current_ms):
            self._home.send_frame(
                UpstreamFrame(run_request=frame), request.service_class
            )

    def _check_run_invariants(self, request: ServedRequest) -> None:
        invariants = self._home.context.invariants
        record_state = self._home.context.record.look_up(
            request.key, request.generation
        )
        invariants.check(
            'run_is_recorded',
            record_state is RecordState.RUNNING,
            f'request {request.key.request} runs but is recorded as {record_state}',
        )
        published = self._home.catalog.upstreams.get(self._home.row.name)
        invariants.check(
            'upstream_of_service',
            published is None or published.service == self._home.row.service,
            f'upstream {self._home.row.name} serves another service',
        )

    def handle_shed(self, message: RunShed, now_ms: float) -> None:
        """Retry, move or answer a request that the upstream did not run."""
        key = RequestKey(FlowId(message.flow_id), RequestId(message.request_id))
        request = self.requests.get(key)
        if request is None or request.state is not RequestState.RUNNING:
            return
        self._home.count('request.shed')
        if message.reason == Reason.REASON_STALE_GENERATION:
            self.scheduler.finish(key, Outcome.CANCELLED, now_ms)
            self._move_request(request, now_ms)
            return
        if message.reason == Reason.REASON_CANCELLED:
            self.scheduler.finish(key, Outcome.CANCELLED, now_ms)
            self._complete(request, _not_run(Reason.REASON_CANCELLED, 0), now_ms)
            return
        self._retry_shed(request, message, now_ms)

    def _retry_shed(
        self,
        request: ServedRequest,
        message: RunShed,
        now_ms: float,
    ) -> None:
        self._finish_run(request, Outcome.SHED, now_ms)
        wait_ms = backoff_ms(
            request.resends,
            self._home.context.generator,
            message.retry_after_ms,
        )
        request.resends += 1
        due_ms = now_ms + wait_ms
        can_retry = (
            self._home.is_owner
            and due_ms < request.deadline_ms
            and self._retry_budget.withdraw(now_ms)
        )
        if request.work is not None and can_retry:
            request.state = RequestState.QUEUED
            self._home.count('request.retried')
            self.scheduler.requeue(request.work, due_ms)
            return
        completion = _not_run(Reason.REASON_SHED, message.retry_after_ms)
        self._complete(request, completion, now_ms)

    def _finish_run(
        self,
        request: ServedRequest,
        outcome: Outcome,
        now_ms: float,
    ) -> None:
        self.scheduler.finish(request.key, outcome, now_ms)
        latency_ms = now_ms - request.run_started_ms
        self._home.context.output.observe(self._home.row, outcome, latency_ms, now_ms)

    def handle_cancel(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        """Cancel a request that its caller withdrew."""
        key = RequestKey(flow.flow_id, RequestId(received.packet.cancel.request_id))
        request = self.requests.get(key)
        if request is None:
            self._cancel_unknown(flow, key, now_ms)
            return
        self._home.count('request.cancelled')
        self._cancel_request(request, now_ms)

    def _cancel_unknown(self, flow: ServedFlow, key: RequestKey, now_ms: float) -> None:
        # The fence prevents a delayed copy of the request from being started.
        if not self._home.context.record.fence(key, flow.generation, now_ms):
            return
        answer = Answer(
            request_id=key.request,
            status=AnswerStatus.ANSWER_STATUS_NOT_RUN,
            reason=Reason.REASON_CANCELLED,
            chunk_count=1,
        )
        self._home.send(flow, Packet(answer=answer))

    def _cancel_request(self, request: ServedRequest, now_ms: float) -> None:
        completion = _not_run(Reason.REASON_CANCELLED, 0)
        if request.state is RequestState.RUNNING:
            self._cancel_run(request, now_ms)
            status = AnswerStatus.ANSWER_STATUS_UNKNOWN
            completion = Completion(status, Reason.REASON_CANCELLED)
        elif request.state is RequestState.QUEUED:
            self.scheduler.cancel(request.key, now_ms)
        if request.state is not RequestState.ANSWERED:
            self._complete(request, completion, now_ms)

    def _cancel_run(self, request: ServedRequest, now_ms: float) -> None:
        self.scheduler.finish(request.key, Outcome.CANCELLED, now_ms)
        cancel = CancelRun(flow_id=request.key.flow, request_id=request.key.request)
        # The same class keeps the cancellation from overtaking the request chunks.
        self._home.send_frame(UpstreamFrame(cancel_run=cancel), request.service_class)

    def _move_request(self, request: ServedRequest, now_ms: float) -> None:
        if request.state is RequestState.QUEUED:
            self.scheduler.cancel(request.key, now_ms)
        self._home.context.record.fence_queued(request.key, request.generation, now_ms)
        self._home.release(request.permit, now_ms)
        self.requests.pop(request.key, None)
        self._home.count('request.moved')
        flow = self._home.flows_by_id.get(request.key.flow)
        if flow:
            moved = Moved(request_id=request.key.request)
            self._home.send(flow, Packet(moved=moved), request.generation)

    def handle_run_answer(self, message: RunAnswer, now_ms: float) -> None:
        """Handle a chunk of the upstream's answer."""
        key = RequestKey(FlowId(message.flow_id), RequestId(message.request_id))
        request = self.requests.get(key)
        if request is None or request.state is not RequestState.RUNNING:
            self._home.count('answer.late')
            return
        if not 0 < message.chunk_count <= MAX_ANSWER_CHUNKS:
            self._home.count('answer.malformed')
            return
        if not request.add_answer_chunk(message) or request.answer_body is None:
            return
        body = request.answer_body.body()
        self._finish_run(request, Outcome.DONE, now_ms)
        status = AnswerStatus.ANSWER_STATUS_DONE
        self._complete(request, Completion(status, body=body), now_ms)

    def _complete(
        self, request: ServedRequest, completion: Completion, now_ms: float
    ) -> None:
        if request.state is RequestState.ANSWERED:
            return
        is_not_run = completion.status == AnswerStatus.ANSWER_STATUS_NOT_RUN
        if is_not_run and request.is_run_lost:
            completion = Completion(
                AnswerStatus.ANSWER_STATUS_UNKNOWN, completion.reason
            )
        status = AnswerStatus.Name(completion.status).removeprefix('ANSWER_STATUS_')
        self._home.count(f'request.{status.lower()}')
        self._count_objective(request, completion, now_ms)
        request.complete(completion, now_ms + ANSWER_RETENTION_MS)
        request.resends = 0
        self._home.release(request.permit, now_ms)
        request.permit = None
        self._home.context.record.answer(request.key, request.generation, now_ms)
        self._send_answer(request, now_ms)
        self._schedule_resend(request, now_ms)
        self.start_work(now_ms)

    def _count_objective(
        self, request: ServedRequest, completion: Completion, now_ms: float
    ) -> None:
        service = self._home.row.service
        objective = self._home.catalog.objectives.get((service, request.service_class))
        latency_ms = now_ms - request.begun_ms
        self._home.context.counters.record_timing_ms(
            f'request.took.{service}', latency_ms
        )
        if objective is None or completion.reason == Reason.REASON_CANCELLED:
            return
        # A refusal because of the customer's plan is not a failure of the service.
        if completion.reason == Reason.REASON_OVER_ALLOWANCE:
            return
        is_done = completion.status == AnswerStatus.ANSWER_STATUS_DONE
        is_good = is_done and latency_ms <= objective.latency_ms
        name = request.service_class.name.lower()
        event = 'good' if is_good else 'bad'
        self._home.count(f'sli.{service}.{request.customer}.{name}.{event}')

    def _send_answer(self, request: ServedRequest, now_ms: float) -> None:
        flow = self._home.flows_by_id.get(request.key.flow)
        if flow is None or request.sender is None:
            return
        for index in tuple(request.sender.missing(ANSWER_WINDOW_CHUNKS)):
            answer = request.answer_chunk(index)
            self._home.send(flow, Packet(answer=answer), request.generation)

    def handle_answer_ack(
        self,
        flow: ServedFlow,
        received: ReceivedPacket,
        now_ms: float,
    ) -> None:
        """Mark acknowledged chunks of an answer and send the next ones."""
        message = received.packet.answer_ack
        request = self.requests.get(
            RequestKey(flow.flow_id, RequestId(message.request_id)),
        )
        if request is None or request.sender is None:
            return
        acknowledged_index = request.sender.next_index
        request.sender.acknowledge(message.next_chunk_index, message.received_bitmap)
        if request.sender.is_complete:
            self.requests.pop(request.key, None)
        elif request.sender.next_index > acknowledged_index:
            self._send_answer_from(
                flow, request, acknowledged_index + ANSWER_WINDOW_CHUNKS
            )

    def _send_answer_from(
        self,
        flow: ServedFlow,
        request: ServedRequest,
        first_index: int,
    ) -> None:
        if request.sender is None:
            return
        for index in tuple(request.sender.missing(ANSWER_WINDOW_CHUNKS)):
            if index >= first_index:
                answer = request.answer_chunk(index)
                self._home.send(flow, Packet(answer=answer), request.generation)

    def handle_down(self, now_ms: float) -> None:
        """Requeue or answer the running requests, which may have been executed."""
        for request in tuple(self.requests.values()):
            if request.state is RequestState.RUNNING:
                self._handle_lost_run(request, now_ms)

    def _handle_lost_run(self, request: ServedRequest, now_ms: float) -> None:
        self._finish_run(request, Outcome.FAILED, now_ms)
        request.answer_body = None
        request.is_run_lost = True
        if request.is_idempotent and request.work and self._home.is_owner:
            request.state = RequestState.QUEUED
            self.scheduler.requeue(request.work, now_ms)
            return
        status = AnswerStatus.ANSWER_STATUS_UNKNOWN
        self._complete(request, Completion(status, Reason.REASON_LINK_LOST), now_ms)

    def tick(self, now_ms: float) -> None:
        """Handle expired requests and due timers, then start requests."""
        for work in tuple(self.scheduler.expire(now_ms)):
            request = self.requests.get(work.request)
            if request and request.state is RequestState.QUEUED:
                reason = Reason.REASON_DEADLINE_EXCEEDED
                self._complete(request, _not_run(reason, 0), now_ms)
        self._run_due_timers(now_ms)
        self.start_work(now_ms)

    def _run_due_timers(self, now_ms: float) -> None:
        while self._timers and self._timers[0][0] <= now_ms:
            _due_ms, _number, key = heapq.heappop(self._timers)
            request = self.requests.get(key)
            if request is not None:
                self._handle_timer(request, now_ms)

    def _handle_timer(self, request: ServedRequest, now_ms: float) -> None:
        if request.state is RequestState.ANSWERED:
            if now_ms >= request.discard_ms:
                self.requests.pop(request.key, None)
                self._home.count('answer.unacknowledged')
                return
            self._send_answer(request, now_ms)
            request.resends += 1
            self._schedule_resend(request, now_ms)
        elif now_ms < request.deadline_ms:
            self._schedule(request, request.deadline_ms)
        elif request.state is RequestState.RUNNING:
            self._expire_run(request, now_ms)
        else:
            self.scheduler.cancel(request.key, now_ms)
            reason = Reason.REASON_DEADLINE_EXCEEDED
            self._complete(request, _not_run(reason, 0), now_ms)

    def _expire_run(self, request: ServedRequest, now_ms: float) -> None:
        # The upstream stops the run at the deadline by itself. The grace period
        # leaves time for its answer to arrive.
        if now_ms < request.deadline_ms + RUNNING_GRACE_MS:
            self._schedule(request, request.deadline_ms + RUNNING_GRACE_MS)
            return
        self._cancel_run(request, now_ms)
        status = AnswerStatus.ANSWER_STATUS_UNKNOWN
        reason = Reason.REASON_DEADLINE_EXCEEDED
        self._complete(request, Completion(status, reason), now_ms)

    def _schedule_resend(self, request: ServedRequest, now_ms: float) -> None:
        wait_ms = self._home.settings.flow.resend_ms * 2**request.resends
        self._schedule(request, now_ms + min(wait_ms, MAX_RESEND_MS))

    def _schedule(self, request: ServedRequest, due_ms: float) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (due_ms, self._timer_number, request.key))


def _not_run(reason: Reason.ValueType, retry_after_ms: float) -> Completion:
    return Completion(AnswerStatus.ANSWER_STATUS_NOT_RUN, reason, retry_after_ms)


def _is_valid(message: Request, settings: Settings) -> bool:
    max_bytes = settings.flow.largest_request_bytes
    expected_chunks = max(1, -(-message.total_bytes // codec.CHUNK_BYTES))
    return (
        message.total_bytes <= max_bytes
        and message.chunk_count == expected_chunks
        and message.chunk_index < message.chunk_count
        and message.service_class in SERVICE_CLASSES
    )


def _run_frames(
    request: ServedRequest,
    flow: ServedFlow,
    work: Work,
    now_ms: float,
) -> Iterator[RunRequest]:
    body = work.payload if isinstance(work.payload, bytes) else b''
    starts = range(0, max(len(body), 1), BODY_CHUNK_BYTES)
    for index, start in enumerate(starts):
        yield RunRequest(
            flow_id=request.key.flow,
            generation=flow.generation,
            request_id=request.key.request,
            timeout_ms=max(1, int(request.deadline_ms - now_ms)),
            chunk_index=index,
            chunk_count=len(starts),
            payload=body[start : start + BODY_CHUNK_BYTES],
            is_idempotent=request.is_idempotent,
            service_class=codec.wire_class(request.service_class),
        )
