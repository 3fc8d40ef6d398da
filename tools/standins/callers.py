"""Simulated callers, which send requests on flows and check answers and pushes."""

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from cardamomtiller.client import Client, ClientOptions, OpenError, Status
from cardamomtiller.identity import Endpoint, ServiceClass
from tools.plan import LoadPlan

WRITE_READ = 'write_read'
BREAK_CHECK_INTERVAL_S = 0.1
MAX_OUTSTANDING_PER_FLOW = 64
MIN_REOPEN_PAUSE_S = 0.2
UNLIMITED_S = 1e6
# Longer than the 11 s in which a client tries to resume a flow.
PROBE_DURATION_S = 12
PROBE_TIMEOUT_MS = 2000
PROBE_TOKEN = 'probe'
CLOSE_TIMEOUT_S = 5
# Longest sleep between arrivals, so that a changed demand soon takes effect.
MAX_DEMAND_STEP_S = 0.2


@dataclass(frozen=True, slots=True)
class Sample:
    """A completed request; ``started_s`` is in monotonic time."""

    load: str
    customer: str
    service_class: str
    token: str
    is_idempotent: bool
    started_s: float
    latency_ms: float
    status: Status
    reason: str


@dataclass(frozen=True, slots=True)
class FlowBreak:
    """A broken flow; ``at_s`` is in monotonic time."""

    load: str
    upstream: str
    at_s: float


@dataclass(slots=True)
class Record:
    """Requests, flow breaks, counts and faults that the callers of a run recorded."""

    samples: list[Sample] = field(default_factory=list)
    breaks: list[FlowBreak] = field(default_factory=list)
    open_latencies_ms: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    idempotency_by_token: dict[str, bool] = field(default_factory=dict)

    def add_fault(self, kind: str, detail: str) -> None:
        """Record a violated expectation: count its kind and keep the detail."""
        self.counts[kind] += 1
        self.faults.append(f'{kind}: {detail}')


@dataclass(slots=True)
class CallerGroup:
    """Callers of one load; ``rate_factor`` multiplies their request rate."""

    plan: LoadPlan
    address: Endpoint
    secrets: dict[str, bytes]
    record: Record
    seed: int
    rate_factor: float = 1
    callers: list['Caller'] = field(default_factory=list)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Run all callers until ``stop`` is called and they have closed their flows."""
        generator = random.Random(f'{self.seed} {self.plan.name}')
        customers = self.plan.customers
        for number in range(self.plan.flows):
            customer = customers[number % len(customers)]
            self.callers.append(Caller(self, number, customer, generator.random()))
        await self.wait_stopped(self.plan.start_s)
        check_task = asyncio.create_task(self._check_breaks())
        try:
            await asyncio.gather(*(caller.run() for caller in self.callers))
        finally:
            check_task.cancel()

    def stop(self) -> None:
        """Stop the callers: they finish the running requests and close their flows."""
        self.stopped.set()

    async def wait_stopped(self, timeout_s: float) -> bool:
        """Wait until the group is stopped or time is up; return if it is stopped."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.stopped.wait(), timeout_s)
        return self.stopped.is_set()

    async def ramp_rate(self, rate_factor: float, duration_s: float) -> None:
        """Change the request rate linearly over a time."""
        initial_factor = self.rate_factor
        start_s = time.monotonic()
        while (elapsed_s := time.monotonic() - start_s) < duration_s:
            self.rate_factor = (
                initial_factor + (rate_factor - initial_factor) * elapsed_s / duration_s
            )
            await asyncio.sleep(BREAK_CHECK_INTERVAL_S / 2)
        self.rate_factor = rate_factor

    async def _check_breaks(self) -> None:
        while True:
            await asyncio.sleep(BREAK_CHECK_INTERVAL_S)
            for caller in self.callers:
                caller.record_break()


class Caller:
    """A caller with one flow at a time, replaced when its lifetime ends."""

    def __init__(
        self, group: CallerGroup, number: int, customer: str, phase: float
    ) -> None:
        """Initialise; ``phase`` is the share of ``open_over_s`` to wait at first."""
        self.group = group
        self.plan = group.plan
        self.record = group.record
        self.customer = customer
        self.name = f'{self.plan.name}-{number}'
        self.client: Client | None = None
        self._phase = phase
        self._random = random.Random(f'{group.seed} {self.name}')
        self._token_count = 0
        self._recorded_breaks = 0
        self._upstream = ''
        self._push_source: tuple[str, int] | None = None

    async def run(self) -> None:
        """Open a flow, use it for its lifetime and close it, until the group stops."""
        await self.group.wait_stopped(self._phase * self.plan.open_over_s)
        while not self.group.stopped.is_set():
            client = await self._open()
            if client is None:
                continue
            tasks = [asyncio.create_task(self._send_requests(client))]
            if self.plan.has_pushes:
                tasks.append(asyncio.create_task(self._read_pushes(client)))
            lifetime_s = self.plan.flow_life_s * self._random.uniform(0.5, 1.5)
            await self.group.wait_stopped(lifetime_s or UNLIMITED_S)
            if self.group.stopped.is_set():
                await self._probe(client)
            await self._close_flow(client, tasks)

    async def _probe(self, client: Client) -> None:
        """Check that the flow still answers; record it as stuck if it does not."""
        deadline_s = time.monotonic() + PROBE_DURATION_S
        while time.monotonic() < deadline_s:
            header = {'token': PROBE_TOKEN, 'service': self.plan.service}
            answer = await client.request(
                json.dumps(header).encode() + b'\n',
                is_idempotent=True,
                timeout_ms=PROBE_TIMEOUT_MS,
            )
            is_refused = answer.reason in {'over allowance', 'queue full', 'shed'}
            if answer.status is Status.DONE or is_refused:
                return
        self.record.add_fault('flows_stuck', f'{self.name} on {client.upstream}')

    async def _close_flow(
        self, client: Client, tasks: list[asyncio.Task[None]]
    ) -> None:
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.record.add_fault('caller_errors', f'{self.name}: {result!r}')
        self.record_break()
        self.record.counts['resumed'] += client.counts.resumed
        self.record.counts['packets_dropped'] += client.counts.dropped
        self.record.counts['flows_closed'] += 1
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(client.close(), CLOSE_TIMEOUT_S)
        self.client = None

    async def _open(self) -> Client | None:
        client = Client(
            self.group.address,
            self.customer,
            self.group.secrets[self.customer],
            ClientOptions(),
        )
        start_s = time.monotonic()
        try:
            await client.open()
        except OpenError as error:
            self.record.counts['open_refused'] += 1
            self.record.counts[f'open_refused {error.reason}'] += 1
            await client.close()
            pause_s = max(error.retry_after_ms / 1000, MIN_REOPEN_PAUSE_S)
            await self.group.wait_stopped(pause_s)
            return None
        self.record.open_latencies_ms.append((time.monotonic() - start_s) * 1000)
        self.record.counts['flows_opened'] += 1
        self._recorded_breaks = 0
        self._upstream = client.upstream
        self._push_source = None
        self.client = client
        return client

    def record_break(self) -> None:
        """Record a break of the flow, with the upstream that served it before."""
        client = self.client
        if client is None:
            return
        if client.counts.broken > self._recorded_breaks:
            self._recorded_breaks = client.counts.broken
            broken = FlowBreak(self.plan.name, self._upstream, time.monotonic())
            self.record.breaks.append(broken)
            # The pushes of the new flow may come from another upstream and are
            # numbered anew.
            self._push_source = None
        if client.upstream and client.counts.broken < client.counts.opened:
            self._upstream = client.upstream

    # Requests

    async def _send_requests(self, client: Client) -> None:
        if not self.plan.request_interval_ms:
            return
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                await self._wait_for_demand()
                if len(running) >= MAX_OUTSTANDING_PER_FLOW:
                    self.record.counts['requests_held_back'] += 1
                    continue
                task = asyncio.create_task(self._run_operation(client))
                running.add(task)
                task.add_done_callback(running.discard)
        finally:
            await self._wait_for_requests(running)

    async def _wait_for_requests(self, running: set[asyncio.Task[None]]) -> None:
        if not running:
            return
        timeout_s = self.plan.timeout_ms / 1000 + 1
        _, pending = await asyncio.wait(tuple(running), timeout=timeout_s)
        for task in pending:
            task.cancel()
            self.record.add_fault('requests_without_end', self.name)

    async def _wait_for_demand(self) -> None:
        """Wait for the next arrival of a Poisson process with a changing rate."""
        remaining = self._random.expovariate(1)
        while remaining > 0:
            rate_per_s = self.group.rate_factor * 1000 / self.plan.request_interval_ms
            step_s = min(remaining / max(rate_per_s, 1e-9), MAX_DEMAND_STEP_S)
            await asyncio.sleep(step_s)
            remaining -= step_s * rate_per_s

    async def _run_operation(self, client: Client) -> None:
        if self.plan.op == WRITE_READ:
            await self._write_and_read(client)
            return
        body = self._random.randbytes(self.plan.payload_bytes)
        answer = await self._request(client, self.plan.op, '', body)
        if answer is None or self.plan.op != 'echo':
            return
        size = self.plan.answer_bytes
        expected = (body * (size // len(body) + 1))[:size] if size else body
        if answer != expected:
            self.record.add_fault('wrong_answers', f'{self.name}: {len(answer)} bytes')

    async def _write_and_read(self, client: Client) -> None:
        breaks = client.counts.broken
        key = f'{self.name} {self._token_count}'
        value = f'value {self._random.random()}'.encode()
        written = await self._request(client, 'write', key, value)
        if written is None:
            return
        read = await self._request(client, 'read', key, b'', is_idempotent=True)
        if read is None or client.counts.broken != breaks:
            return
        self.record.counts['read_your_writes'] += 1
        if read != value:
            self.record.add_fault('stale_reads', f'{key}: {read!r}')

    async def _request(
        self,
        client: Client,
        op: str,
        key: str,
        body: bytes,
        *,
        is_idempotent: bool | None = None,
    ) -> bytes | None:
        plan = self.plan
        if is_idempotent is None:
            is_idempotent = plan.is_idempotent
        self._token_count += 1
        token = f'{self.name} {self._token_count}'
        header = {
            'token': token,
            'service': plan.service,
            'op': op,
            'key': key,
            'work_ms': plan.work_ms,
            'answer_bytes': plan.answer_bytes if op == 'echo' else 0,
        }
        self.record.idempotency_by_token[token] = is_idempotent
        start_s = time.monotonic()
        answer = await client.request(
            json.dumps(header).encode() + b'\n' + body,
            service_class=ServiceClass[plan.service_class.upper()],
            is_idempotent=is_idempotent,
            timeout_ms=plan.timeout_ms,
        )
        sample = Sample(
            load=plan.name,
            customer=self.customer,
            service_class=plan.service_class,
            token=token,
            is_idempotent=is_idempotent,
            started_s=start_s,
            latency_ms=(time.monotonic() - start_s) * 1000,
            status=answer.status,
            reason=answer.reason,
        )
        self.record.samples.append(sample)
        return answer.payload if answer.status is Status.DONE else None

    # Pushes

    async def _read_pushes(self, client: Client) -> None:
        async for payload in client.pushes():
            self.record.counts['pushes'] += 1
            push = json.loads(payload)
            if push['service'] != self.plan.service:
                self.record.add_fault('misrouted', f'{self.name}: push of {push}')
            source = (push['upstream'], push['incarnation'])
            if self._push_source and source != self._push_source:
                self.record_break()
            if self._push_source and source != self._push_source:
                self.record.add_fault('foreign_pushes', f'{self.name}: {push}')
            self._push_source = source


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank, 0 if there are no values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_by_class(samples: list[Sample]) -> Iterator[tuple[str, list[float]]]:
    """Yield each service class with the latencies of its successful requests."""
    for service_class in sorted({sample.service_class for sample in samples}):
        yield (
            service_class,
            [
                sample.latency_ms
                for sample in samples
                if sample.service_class == service_class
                and sample.status is Status.DONE
            ],
        )
