"""Stand-in for an upstream: runs the requests that instances send over links."""

import argparse
import asyncio
import contextlib
import json
import os
import random
import secrets
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from cardamomtiller.identity import parse_endpoint
from cardamomtiller.wire_pb2 import (
    REASON_SHED,
    REASON_STALE_GENERATION,
    REASON_UNKNOWN_FLOW,
    Drain,
    FlowClose,
    FlowList,
    FlowOpen,
    FlowOpened,
    FlowPing,
    FlowPong,
    FlowRecord,
    Hello,
    LoadReport,
    PushFrame,
    PushFrameAck,
    Reason,
    RunAnswer,
    RunRequest,
    RunShed,
    UpstreamFrame,
    UpstreamLoad,
)
from tools.standins.admin import AdminRequest, AdminResponse, serve_admin

MAX_FRAME_BYTES = 1 << 20
LENGTH_PREFIX_BYTES = 4
FLOWS_PER_LIST = 200
ANSWER_CHUNK_BYTES = 64 * 1024
FIRST_PUSH_RESEND_MS = 300
# Limit of the backoff. Pushes on the flows of failed callers are never acknowledged;
# without backoff, repeating them would load every instance.
MAX_PUSH_RESEND_MS = 4800
MAX_PUSHES_IN_FLIGHT = 4
LOAD_REPORT_INTERVAL_MS = 500
TIMER_INTERVAL_S = 0.05
# With a greater slow factor, load reports say that the upstream is unhealthy.
MAX_HEALTHY_FACTOR = 3
COLD_FACTOR = 4
# A link with more unsent bytes is closed.
MAX_BACKLOG_BYTES = 32 << 20


@dataclass(slots=True)
class Behaviour:
    """Options that ``POST /set`` of the admin server changes at run time."""

    slots: int = 2
    drain: int = 0
    slow_factor: float = 1.0
    shed_share: float = 0.0
    lie_healthy: int = 0
    cold_ms: float = 0.0
    push_interval_ms: float = 0.0
    flow_idle_ms: float = 30_000.0
    mute: int = 0


@dataclass(slots=True, eq=False)
class Link:
    """Connection from an instance, with the request chunks received over it."""

    writer: asyncio.StreamWriter
    instance: str = ''
    chunks_by_request: dict[tuple[bytes, int], dict[int, bytes]] = field(
        default_factory=dict
    )
    is_open: bool = True

    def send(self, frame: UpstreamFrame) -> None:
        """Send a frame; on a closed link the frame is dropped."""
        if not self.is_open:
            return
        body = frame.SerializeToString()
        self.writer.write(len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body)
        backlog = self.writer.transport.get_write_buffer_size()
        if backlog > MAX_BACKLOG_BYTES:
            self.is_open = False
            self.writer.transport.abort()


@dataclass(slots=True)
class UnacknowledgedPush:
    """A push that is repeated until the caller acknowledges it."""

    payload: bytes
    sent_ms: float
    resend_interval_ms: float = FIRST_PUSH_RESEND_MS


@dataclass(slots=True)
class Flow:
    """An open flow, with the link of the instance that serves it."""

    record: FlowRecord
    link: Link
    last_used_ms: float
    last_push_ms: float
    next_push_id: int = 1
    pushes: dict[int, 'UnacknowledgedPush'] = field(default_factory=dict)


@dataclass(slots=True)
class Execution:
    """A run of a request; ``GET /executions`` returns the fields by name."""

    flow: str
    request_id: int
    token: str
    op: str
    service_class: int
    is_idempotent: bool
    started_ms: float
    ended_ms: float = 0
    outcome: str = 'running'


class Upstream:
    """One upstream: flows, links, running requests and counters."""

    def __init__(
        self, name: str, service: str, behaviour: Behaviour, seed: int = 0
    ) -> None:
        """Initialise without flows; the incarnation is a random number."""
        self.name = name
        self.service = service
        self.behaviour = behaviour
        self.incarnation = secrets.randbits(64)
        self.flows: dict[bytes, Flow] = {}
        self.links: dict[Link, None] = {}
        self.counts: Counter[str] = Counter()
        self.executions: list[Execution] = []
        self.store: dict[str, str] = {}
        self.busy_ms = 0.0
        self.execution_log_fd: int | None = None
        self._random = random.Random(f'{seed} {name}')
        self._started_requests: set[tuple[bytes, int]] = set()
        self._opened_flow_ids: set[bytes] = set()
        self._running_requests: dict[asyncio.Task[None], tuple[bytes, int]] = {}
        self._cold_start_ms = now_ms()
        self._drain_start_ms: float | None = None
        self._last_new_flow_after_drain_ms = 0.0

    async def serve_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Process the frames of a connection until it is closed."""
        link = Link(writer)
        self.accept(link)
        try:
            await self._read_frames(reader, link)
        except (OSError, asyncio.IncompleteReadError, DecodeError, ValueError):
            self.counts['links_broken'] += 1
        finally:
            link.is_open = False
            self.links.pop(link, None)
            writer.close()

    def accept(self, link: Link) -> None:
        """Register a link and send the initial frames."""
        self.links[link] = None
        self.counts['links_accepted'] += 1
        hello = Hello(
            upstream=self.name,
            service=self.service,
            incarnation=self.incarnation,
            slots=self.behaviour.slots,
        )
        link.send(UpstreamFrame(hello=hello))
        for flow_list in self._make_flow_lists():
            link.send(UpstreamFrame(flow_list=flow_list))
        link.send(self._make_load_report())
        if self.behaviour.drain:
            link.send(UpstreamFrame(drain=Drain(is_draining=True)))

    async def _read_frames(self, reader: asyncio.StreamReader, link: Link) -> None:
        while True:
            header = await reader.readexactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(header, 'big')
            if length > MAX_FRAME_BYTES:
                raise ValueError(f'frame of {length} bytes is too large')
            frame = UpstreamFrame.FromString(await reader.readexactly(length))
            if not self.behaviour.mute:
                self.handle(link, frame)

    def handle(self, link: Link, frame: UpstreamFrame) -> None:
        """Process a frame from an instance."""
        match frame.WhichOneof('body'):
            case 'hello':
                self._handle_hello(link, frame.hello)
            case 'flow_open':
                self._open_flow(link, frame.flow_open)
            case 'flow_ping':
                self._answer_ping(link, frame.flow_ping)
            case 'flow_close':
                self._close_flow(frame.flow_close)
            case 'run_request':
                self._collect_chunk(link, frame.run_request)
            case 'cancel_run':
                cancel = frame.cancel_run
                self._cancel_run((cancel.flow_id, cancel.request_id))
            case 'push_frame_ack':
                self._handle_push_ack(frame.push_frame_ack)
            case name:
                self.counts[f'unexpected_{name}'] += 1

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        link.instance = hello.instance
        if hello.service and hello.service != self.service:
            self.counts['misrouted_hellos'] += 1

    def _make_flow_lists(self) -> Iterator[FlowList]:
        records = [flow.record for flow in self.flows.values()]
        starts = range(0, max(len(records), 1), FLOWS_PER_LIST)
        for start in starts:
            yield FlowList(
                flows=records[start : start + FLOWS_PER_LIST],
                is_last=start == starts[-1],
            )

    def _open_flow(self, link: Link, message: FlowOpen) -> None:
        record = message.flow
        link.instance = message.home
        known_flow = self.flows.get(record.flow_id)
        opened = FlowOpened(flow_id=record.flow_id, generation=record.generation)
        if known_flow and record.generation <= known_flow.record.generation:
            opened.refusal = REASON_STALE_GENERATION
            opened.held_generation = known_flow.record.generation
            self.counts['flow_opens_refused'] += 1
        elif known_flow:
            known_flow.record = record
            known_flow.link = link
            known_flow.last_used_ms = now_ms()
            self.counts['flow_opens_resumed'] += 1
        elif record.generation > 1:
            # A generation above 1 resumes a flow whose state this upstream does not
            # have; the caller must open a new flow.
            opened.refusal = REASON_UNKNOWN_FLOW
            self.counts['flow_opens_of_unknown'] += 1
        else:
            self.flows[record.flow_id] = Flow(record, link, now_ms(), now_ms())
            self.counts['flow_opens_new'] += 1
            self._opened_flow_ids.add(record.flow_id)
            self._count_new_flow()
        link.send(UpstreamFrame(flow_opened=opened))

    def _count_new_flow(self) -> None:
        if self._drain_start_ms is not None:
            self.counts['flow_opens_after_drain'] += 1
            self._last_new_flow_after_drain_ms = now_ms() - self._drain_start_ms

    def _answer_ping(self, link: Link, message: FlowPing) -> None:
        record = message.flow
        pong = FlowPong(flow_id=record.flow_id)
        known_flow = self.flows.get(record.flow_id)
        if known_flow is None or record.generation > known_flow.record.generation:
            pong.refusal = REASON_UNKNOWN_FLOW
        elif record.generation < known_flow.record.generation:
            pong.refusal = REASON_STALE_GENERATION
        else:
            known_flow.record = record
            known_flow.link = link
            known_flow.last_used_ms = now_ms()
        self.counts['pings'] += 1
        link.send(UpstreamFrame(flow_pong=pong))

    def _close_flow(self, message: FlowClose) -> None:
        known_flow = self.flows.get(message.flow_id)
        if known_flow and message.generation >= known_flow.record.generation:
            del self.flows[message.flow_id]
            self.counts['flows_closed'] += 1

    def _handle_push_ack(self, message: PushFrameAck) -> None:
        flow = self.flows.get(message.flow_id)
        if flow and flow.pushes.pop(message.push_id, None):
            flow.last_used_ms = now_ms()
            self.counts['pushes_acknowledged'] += 1

    def _collect_chunk(self, link: Link, message: RunRequest) -> None:
        key = (message.flow_id, message.request_id)
        chunks = link.chunks_by_request.setdefault(key, {})
        chunks[message.chunk_index] = message.payload
        if len(chunks) < max(message.chunk_count, 1):
            return
        # Refuse a request only once and only after its last chunk: the instance
        # could apply a second RunShed to the next attempt.
        del link.chunks_by_request[key]
        refusal = self._refusal(message)
        if refusal:
            self._shed(link, key, refusal)
            return
        body = b''.join(chunks[index] for index in sorted(chunks))
        self._start_run(link, message, body)

    def _refusal(self, message: RunRequest) -> Reason | None:
        flow = self.flows.get(message.flow_id)
        if flow is None or message.generation > flow.record.generation:
            return REASON_UNKNOWN_FLOW
        if message.generation < flow.record.generation:
            return REASON_STALE_GENERATION
        flow.last_used_ms = now_ms()
        if len(self._running_requests) >= self.behaviour.slots:
            return REASON_SHED
        return None

    def _shed(self, link: Link, key: tuple[bytes, int], reason: Reason) -> None:
        self.counts['sheds'] += 1
        self.counts[f'sheds_{Reason.Name(reason).lower()}'] += 1
        shed = RunShed(
            flow_id=key[0], request_id=key[1], reason=reason, retry_after_ms=50
        )
        link.send(UpstreamFrame(run_shed=shed))

    def _start_run(self, link: Link, message: RunRequest, body: bytes) -> None:
        key = (message.flow_id, message.request_id)
        if self._random.random() < self.behaviour.shed_share:
            self._shed(link, key, REASON_SHED)
            return
        header, _, command_body = body.partition(b'\n')
        try:
            command = json.loads(header)
        except ValueError:
            command = {}
        if command.get('service', self.service) != self.service:
            self.counts['misrouted_requests'] += 1
        if key in self._started_requests:
            count_name = (
                'repeated_idempotent' if message.is_idempotent else 'double_runs'
            )
            self.counts[count_name] += 1
        self._started_requests.add(key)
        execution = Execution(
            flow=message.flow_id.hex(),
            request_id=message.request_id,
            token=str(command.get('token', '')),
            op=str(command.get('op', 'echo')),
            service_class=message.service_class,
            is_idempotent=message.is_idempotent,
            started_ms=now_ms(),
        )
        self.executions.append(execution)
        self._log_execution('start', execution)
        self.counts['runs_started'] += 1
        coroutine = self._run(link, message, command, command_body, execution)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running_requests[task] = key
        task.add_done_callback(
            lambda finished_task: self._finish_run(finished_task, execution)
        )

    async def _run(
        self,
        link: Link,
        message: RunRequest,
        command: dict[str, object],
        command_body: bytes,
        execution: Execution,
    ) -> None:
        work_ms = float(str(command.get('work_ms', 0))) * self._current_slow_factor()
        timeout_ms = message.timeout_ms or float('inf')
        await asyncio.sleep(min(work_ms, timeout_ms) / 1000)
        if work_ms > timeout_ms:
            execution.outcome = 'timed_out'
            return
        answer = self._execute(command, command_body)
        execution.outcome = 'finished'
        if not link.is_open:
            self.counts['answers_dropped'] += 1
        starts = range(0, max(len(answer), 1), ANSWER_CHUNK_BYTES)
        for index, start in enumerate(starts):
            frame = RunAnswer(
                flow_id=message.flow_id,
                request_id=message.request_id,
                chunk_index=index,
                chunk_count=len(starts),
                payload=answer[start : start + ANSWER_CHUNK_BYTES],
                run_ms=int(now_ms() - execution.started_ms),
            )
            link.send(UpstreamFrame(run_answer=frame))

    def _execute(self, command: dict[str, object], command_body: bytes) -> bytes:
        key = str(command.get('key', ''))
        op = command.get('op', 'echo')
        if op == 'write':
            self.store[key] = command_body.decode('utf-8', 'replace')
            return b'written'
        if op == 'read':
            return self.store.get(key, '').encode()
        size = int(str(command.get('answer_bytes', 0)))
        if not size:
            return command_body
        pattern = command_body or b'.'
        return (pattern * (size // len(pattern) + 1))[:size]

    def _finish_run(self, task: asyncio.Task[None], execution: Execution) -> None:
        self._running_requests.pop(task, None)
        execution.ended_ms = now_ms()
        if task.cancelled():
            execution.outcome = 'cancelled'
        self.busy_ms += execution.ended_ms - execution.started_ms
        self.counts[f'runs_{execution.outcome}'] += 1
        self._log_execution('end', execution)

    def _cancel_run(self, key: tuple[bytes, int]) -> None:
        for link in self.links:
            link.chunks_by_request.pop(key, None)
        for task, running_key in tuple(self._running_requests.items()):
            if running_key == key:
                # Remove the task now, so that the next frame finds the slot free.
                del self._running_requests[task]
                task.cancel()

    def _current_slow_factor(self) -> float:
        factor = self.behaviour.slow_factor
        if now_ms() - self._cold_start_ms < self.behaviour.cold_ms:
            factor *= COLD_FACTOR
        return factor

    def _log_execution(self, event: str, execution: Execution) -> None:
        """Append a line without buffering, so that a kill of the process loses none."""
        if self.execution_log_fd is None:
            return
        row = {
            'event': event,
            'upstream': self.name,
            'flow': execution.flow,
            'request_id': execution.request_id,
            'token': execution.token,
            'is_idempotent': execution.is_idempotent,
            'outcome': execution.outcome,
        }
        os.write(self.execution_log_fd, json.dumps(row).encode() + b'\n')

    def _make_load_report(self) -> UpstreamFrame:
        behaviour = self.behaviour
        is_healthy = (
            behaviour.shed_share == 0
            and self._current_slow_factor() <= MAX_HEALTHY_FACTOR
        )
        load = UpstreamLoad(
            open_flows=len(self.flows),
            running_requests=len(self._running_requests),
            slots=behaviour.slots,
            is_healthy=is_healthy or bool(behaviour.lie_healthy),
        )
        return UpstreamFrame(load_report=LoadReport(load=load))

    async def run_timers(self) -> None:
        """Send pushes and load reports and close idle flows until cancelled."""
        last_report_ms = 0.0
        while True:
            await asyncio.sleep(TIMER_INTERVAL_S)
            time_ms = now_ms()
            if self.behaviour.mute:
                continue
            for flow_id, flow in tuple(self.flows.items()):
                self._update_flow(flow_id, flow, time_ms)
            if time_ms - last_report_ms >= LOAD_REPORT_INTERVAL_MS:
                last_report_ms = time_ms
                report = self._make_load_report()
                for link in self.links:
                    link.send(report)

    def _update_flow(self, flow_id: bytes, flow: Flow, time_ms: float) -> None:
        if time_ms - flow.last_used_ms > self.behaviour.flow_idle_ms:
            del self.flows[flow_id]
            self.counts['flows_idle'] += 1
            closing = FlowClose(flow_id=flow_id, generation=flow.record.generation)
            flow.link.send(UpstreamFrame(flow_close=closing))
            return
        for push_id, push in flow.pushes.items():
            if time_ms - push.sent_ms >= push.resend_interval_ms:
                self.counts['pushes_resent'] += 1
                push.sent_ms = time_ms
                push.resend_interval_ms = min(
                    push.resend_interval_ms * 2, MAX_PUSH_RESEND_MS
                )
                self._send_push(flow, push_id, push.payload)
        interval_ms = self.behaviour.push_interval_ms
        is_due = interval_ms and time_ms - flow.last_push_ms >= interval_ms
        if is_due and len(flow.pushes) < MAX_PUSHES_IN_FLIGHT:
            flow.last_push_ms = time_ms
            body = {
                'service': self.service,
                'upstream': self.name,
                'incarnation': self.incarnation,
                'number': flow.next_push_id,
            }
            self.counts['pushes'] += 1
            push = UnacknowledgedPush(json.dumps(body).encode(), time_ms)
            flow.pushes[flow.next_push_id] = push
            self._send_push(flow, flow.next_push_id, push.payload)
            flow.next_push_id += 1

    def _send_push(self, flow: Flow, push_id: int, payload: bytes) -> None:
        frame = PushFrame(flow_id=flow.record.flow_id, push_id=push_id, payload=payload)
        flow.link.send(UpstreamFrame(push_frame=frame))

    def stats(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /stats``: return counters, load and links."""
        running_ms = sum(
            now_ms() - execution.started_ms
            for execution in self.executions
            if execution.outcome == 'running' and not execution.ended_ms
        )
        return AdminResponse(
            {
                'upstream': self.name,
                'service': self.service,
                'incarnation': str(self.incarnation),
                'flows_open': len(self.flows),
                'running': len(self._running_requests),
                'links': [link.instance for link in self.links],
                'homes': dict(
                    Counter(flow.link.instance for flow in self.flows.values())
                ),
                'busy_ms': self.busy_ms + running_ms,
                'double_runs': self.counts['double_runs'],
                'misrouted': self.counts['misrouted_requests']
                + self.counts['misrouted_hellos'],
                'last_new_flow_after_drain_ms': self._last_new_flow_after_drain_ms,
                'counts': dict(self.counts),
            }
        )

    def list_executions(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /executions``: return all runs since the start."""
        fields = Execution.__slots__
        rows = [
            {name: getattr(execution, name) for name in fields}
            for execution in self.executions
        ]
        return AdminResponse(rows)

    def list_opened(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /opened``: return the ids of all flows since the start."""
        return AdminResponse([flow.hex() for flow in self._opened_flow_ids])

    def list_flows(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /flows``: return the open flows."""
        rows = [
            {
                'flow': flow_id.hex(),
                'customer': flow.record.customer,
                'generation': flow.record.generation,
                'instance': flow.link.instance,
            }
            for flow_id, flow in self.flows.items()
        ]
        return AdminResponse(rows)

    def set_behaviour(self, request: AdminRequest) -> AdminResponse:
        """Handle ``POST /set``: change options, after checking the names of all."""
        values = {}
        for name, text in request.query.items():
            values[name] = type(getattr(Behaviour(), name, ''))(text)
            if isinstance(values[name], str):
                raise ValueError(f'unknown option {name}')
        for name, value in values.items():
            setattr(self.behaviour, name, value)
        if 'cold_ms' in values:
            self._cold_start_ms = now_ms()
        if 'drain' in values:
            self._announce_drain()
        return AdminResponse(values)

    def _announce_drain(self) -> None:
        is_draining = bool(self.behaviour.drain)
        self._drain_start_ms = now_ms() if is_draining else None
        for link in self.links:
            link.send(UpstreamFrame(drain=Drain(is_draining=is_draining)))

    async def serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a first line ``name`` with service and upstream; echo all else."""
        self.counts['streams'] += 1
        with contextlib.suppress(OSError, ValueError):
            line = await reader.readline()
            if line == b'name\n':
                line = f'{self.service} {self.name}\n'.encode()
            writer.write(line)
            while chunk := await reader.read(MAX_FRAME_BYTES):
                writer.write(chunk)
                await writer.drain()
            await writer.drain()
            self.counts['streams_finished'] += 1
        writer.close()


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


async def serve(options: argparse.Namespace) -> None:
    """Start the servers of links, streams and admin and run until cancelled."""
    behaviour = Behaviour(
        slots=options.slots,
        cold_ms=options.cold_ms,
        push_interval_ms=options.push_interval_ms,
        flow_idle_ms=options.flow_idle_ms,
    )
    upstream = Upstream(options.name, options.service, behaviour, options.seed)
    if options.execution_log:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        upstream.execution_log_fd = os.open(options.execution_log, flags, 0o644)
    await asyncio.start_server(
        upstream.serve_link, *parse_endpoint(options.listen).as_pair()
    )
    if options.stream_listen:
        address = parse_endpoint(options.stream_listen).as_pair()
        await asyncio.start_server(upstream.serve_stream, *address)
    handlers = {
        ('GET', '/stats'): upstream.stats,
        ('GET', '/executions'): upstream.list_executions,
        ('GET', '/flows'): upstream.list_flows,
        ('GET', '/opened'): upstream.list_opened,
        ('POST', '/set'): upstream.set_behaviour,
    }
    await serve_admin(parse_endpoint(options.admin).as_pair(), handlers)
    await upstream.run_timers()


def main() -> None:
    """Parse the command line and run the upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument(
        '--listen', required=True, help='HOST:PORT for links of instances'
    )
    parser.add_argument('--stream-listen', help='HOST:PORT for plain TCP streams')
    parser.add_argument('--slots', type=int, required=True)
    parser.add_argument('--admin', required=True, help='HOST:PORT')
    parser.add_argument('--cold-ms', type=float, default=0)
    parser.add_argument('--push-interval-ms', type=float, default=0)
    parser.add_argument('--flow-idle-ms', type=float, default=30_000)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument(
        '--execution-log', help='file for a line per start and end of a run'
    )
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
