"""
Client library for callers: open a flow, send requests, read pushes.

Every request ends with one of three statuses. ``DONE``: the request was executed
and the answer is complete. ``NOT_RUN``: the request was certainly not executed
and may be sent again. ``UNKNOWN``: the request may have been executed; before
sending a non-idempotent request again, read the state that it changes.
"""

import asyncio
import contextlib
import os
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace
from types import TracebackType
from typing import Self

from returns.result import Failure

from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.codec import ChunkSender, Reassembly
from cardamomtiller.datagrams.outgoing import (
    FIRST_RESEND_MS,
    MAX_RESEND_MS,
    Answer,
    OutgoingRequest,
    Status,
    answer_from_message,
    reason_text,
)
from cardamomtiller.identity import (
    FLOW_ID_BYTES,
    MS_PER_S,
    Endpoint,
    FlowId,
    ServiceClass,
)
from cardamomtiller.wire_pb2 import (
    AnswerAck,
    Cancel,
    Close,
    Keepalive,
    Open,
    Packet,
    PushAck,
    Reason,
    Request,
    RequestAck,
)

WINDOW_CHUNKS = 32
# The home instance answers at the deadline; this is the time for its answer to
# arrive.
DEADLINE_GRACE_MS = 300
MIN_WAIT_MS = 1
MAX_KEPT_COOKIES = 8
MAX_ANSWER_CHUNKS = 4096
# A push whose id is further ahead of the next expected id is dropped.
PUSH_WINDOW = 1000


class OpenError(Exception):
    """
    The flow was refused, or no instance answered within the open timeout.

    ``retry_after_ms`` is the delay before the next attempt that the instance
    requires, or 0.
    """

    def __init__(self, reason: str, retry_after_ms: float) -> None:
        """Build the message from the reason."""
        super().__init__(f'flow not opened: {reason}')
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """
    Timeouts of a flow in milliseconds.

    Parameters
    ----------
    open_timeout_ms
        Time after which ``Client.open`` fails.
    silence_ms
        Time without a packet from the home instance after which the flow is resumed.
    lost_ms
        Time for which the client tries to resume before it breaks the flow.
    link_lost_ms
        Time for which the home may report a lost link to the upstream before the
        flow is broken.
    is_reopening
        Whether a broken flow is opened again on another upstream.
    """

    open_timeout_ms: float = 10_000
    silence_ms: float = 3000
    lost_ms: float = 8000
    link_lost_ms: float = 4000
    is_reopening: bool = True


@dataclass(slots=True)
class ClientCounts:
    """Event counts of a flow: opens, resumes, breaks, resends, dropped packets."""

    opened: int = 0
    resumed: int = 0
    broken: int = 0
    resent: int = 0
    dropped: int = 0


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; resends and the silence timeout handle the loss."""


class Client:
    """
    Flow to a service.

    The flow survives the loss of any instance: the client resumes it at another
    one. If its upstream is gone, the flow breaks and the client opens it again on
    another upstream. Idempotent requests that were sent on the broken flow are
    sent again; other requests that were sent end as ``UNKNOWN``.

    Parameters
    ----------
    address
        Datagram address of the service.
    customer
        Name of the client account.
    secret
        Secret of the client account, from which the MAC keys are derived.
    options
        Timeouts of the flow.
    """

    def __init__(
        self,
        address: Endpoint,
        customer: str,
        secret: bytes,
        options: ClientOptions | None = None,
    ) -> None:
        """Create a closed flow; no packet is sent before ``open``."""
        self.counts = ClientCounts()
        self.upstream = ''
        self._address = address
        self._customer = customer
        self._secret = secret
        self._options = options or ClientOptions()
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._outgoing: dict[int, OutgoingRequest] = {}
        self._next_request_id = 1
        self._pushes: asyncio.Queue[bytes] = asyncio.Queue()
        self._keepalive_ms: float = MS_PER_S
        self._is_closed = False
        self._opened = asyncio.Event()
        self._resume_requested = asyncio.Event()
        self._handlers = self._make_handlers()
        self._reset_flow()

    # Public interface

    async def __aenter__(self) -> Self:
        """Open the flow."""
        await self.open()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the flow."""
        await self.close()

    async def open(self) -> None:
        """
        Open the flow.

        Raises
        ------
        OpenError
            If the flow is refused or no answer arrives within the open timeout.
        """
        await self._open_new()
        self._start_task(self._send_keepalives())
        self._start_task(self._maintain_flow())

    async def request(
        self,
        payload: bytes,
        *,
        service_class: ServiceClass = ServiceClass.NORMAL,
        is_idempotent: bool = False,
        timeout_ms: float = 10_000,
    ) -> Answer:
        """
        Send a request and wait until it has ended.

        Parameters
        ----------
        payload
            Body of the request.
        service_class
            Priority class.
        is_idempotent
            Whether the request may be executed more than once.
        timeout_ms
            Time from now to the deadline.

        Returns
        -------
        Answer
            Status and payload; an exceeded deadline is a status, not an exception.
        """
        outgoing = OutgoingRequest(
            request_id=self._next_request_id,
            service_class=service_class,
            is_idempotent=is_idempotent,
            deadline_ms=_now_ms() + timeout_ms,
            total_bytes=len(payload),
            sender=ChunkSender(codec.split_chunks(payload)),
            wake_event=asyncio.Event(),
            done=asyncio.get_running_loop().create_future(),
        )
        self._next_request_id += 1
        self._outgoing[outgoing.request_id] = outgoing
        try:
            await self._send_until_done(outgoing)
        except asyncio.CancelledError:
            self._send_cancel(outgoing)
            raise
        finally:
            self._outgoing.pop(outgoing.request_id, None)
        return outgoing.done.result()

    async def pushes(self) -> AsyncIterator[bytes]:
        """Iterate over the payloads of the pushes of the upstream, in order."""
        while not self._is_closed:
            yield await self._pushes.get()

    async def close(self) -> None:
        """Close the flow; unfinished requests end as ``UNKNOWN`` or ``NOT_RUN``."""
        if self._is_closed:
            return
        self._is_closed = True
        for outgoing in tuple(self._outgoing.values()):
            self._finish_unanswered(outgoing, 'closed')
        if self._cookie:
            self._send(Packet(close=Close()), self._cookie)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._transport:
            self._transport.close()

    @property
    def flow(self) -> FlowId:
        """Return the flow id, which changes when the flow is opened again."""
        return self._flow

    # Opening and resuming

    def _reset_flow(self) -> None:
        self._attempt_keys: dict[FlowId, bytes] = {}
        self._start_attempt()
        self._cookie = b''
        self._cookies: dict[int, bytes] = {}
        self._generation = 0
        self._sequence = 0
        self._upstream_tag = 0
        self._link_lost_since_ms: float = 0
        self._refusal: OpenError | None = None
        self._last_received_ms: float = 0
        self._next_push_id = 1
        self._held_pushes: dict[int, bytes] = {}
        self._opened.clear()
        self._resume_requested.clear()

    def _start_attempt(self) -> None:
        # Two copies of an open packet may be assigned to different upstreams. Each
        # attempt therefore has its own flow id; the first flow opened is kept.
        self._flow = FlowId(os.urandom(FLOW_ID_BYTES))
        flow_key = codec.derive_flow_key(self._secret, self._flow)
        self._attempt_keys[self._flow] = flow_key

    async def _open_new(self) -> None:
        """Open a new flow over a new socket."""
        if self._transport:
            self._transport.close()
        self._reset_flow()
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive),
            remote_addr=self._address.as_pair(),
        )
        self._transport = transport
        self._last_received_ms = _now_ms()
        deadline_ms = _now_ms() + self._options.open_timeout_ms
        resend_ms: float = FIRST_RESEND_MS
        while not self._opened.is_set():
            if _now_ms() > deadline_ms:
                raise self._refusal or OpenError('no answer', 0)
            self._send_open(is_resume=False)
            await _wait_event(self._opened, resend_ms)
            if self._refusal and not self._opened.is_set():
                wait_ms = self._refusal.retry_after_ms
                await _wait_event(self._opened, wait_ms)
            resend_ms = min(resend_ms * 2, MAX_RESEND_MS)
            if not self._opened.is_set():
                self._start_attempt()
        self.counts.opened += 1

    def _send_open(self, *, is_resume: bool) -> None:
        message = Open(
            customer=self._customer,
            sent_unix_ms=int(time.time() * MS_PER_S),
            is_resume=is_resume,
            is_unheard=is_resume and self._is_home_silent(),
        )
        self._send(Packet(open=message), self._cookie)

    def _is_home_silent(self) -> bool:
        return _now_ms() - self._last_received_ms > self._options.silence_ms

    async def _maintain_flow(self) -> None:
        """Resume the flow on request; open a new one if that fails."""
        while not self._is_closed:
            await self._resume_requested.wait()
            if self._cookie and await self._resume():
                self.counts.resumed += 1
                continue
            self._break_flow('flow lost')
            if not self._options.is_reopening:
                return
            await self._reopen()

    async def _resume(self) -> bool:
        resend_ms: float = FIRST_RESEND_MS
        deadline_ms = _now_ms() + self._options.lost_ms
        while _now_ms() < deadline_ms and self._cookie:
            if not self._resume_requested.is_set():
                return True
            self._send_open(is_resume=True)
            await asyncio.sleep(random.uniform(0.7, 1) * resend_ms / MS_PER_S)
            resend_ms = min(resend_ms * 2, MAX_RESEND_MS)
        return not self._resume_requested.is_set()

    async def _reopen(self) -> None:
        while not self._is_closed:
            try:
                await self._open_new()
            except OpenError as error:
                await asyncio.sleep(error.retry_after_ms / MS_PER_S)
            else:
                break
        for outgoing in self._outgoing.values():
            outgoing.rebind(1)

    def _break_flow(self, reason: str) -> None:
        self.counts.broken += 1
        self._cookie = b''
        for outgoing in tuple(self._outgoing.values()):
            if outgoing.is_sent and outgoing.is_idempotent:
                outgoing.rebind(1)
            elif outgoing.is_sent:
                self._finish_unanswered(outgoing, reason)

    async def _send_keepalives(self) -> None:
        while not self._is_closed:
            wait_ms = self._keepalive_ms * random.uniform(0.8, 1.2)
            await asyncio.sleep(wait_ms / MS_PER_S)
            if not self._cookie:
                continue
            keepalive = Keepalive(first_open_request_id=self._first_open_request_id())
            self._send(Packet(keepalive=keepalive), self._cookie)
            if self._is_home_silent():
                self._resume_requested.set()

    # Requests

    async def _send_until_done(self, outgoing: OutgoingRequest) -> None:
        """Send and resend the chunks of a request until it has ended."""
        while not outgoing.done.done():
            now_ms = _now_ms()
            if now_ms > outgoing.deadline_ms + DEADLINE_GRACE_MS:
                self._send_cancel(outgoing)
                self._finish_unanswered(outgoing, 'deadline exceeded')
                return
            if now_ms < outgoing.deadline_ms:
                self._send_chunks(outgoing, now_ms)
            outgoing.wake_event.clear()
            remaining_ms = outgoing.deadline_ms + DEADLINE_GRACE_MS - now_ms
            wait_ms = min(outgoing.resend_ms, max(remaining_ms, MIN_WAIT_MS))
            await _wait_event(outgoing.wake_event, wait_ms)

    def _send_chunks(self, outgoing: OutgoingRequest, now_ms: float) -> None:
        if not outgoing.cookie and not self._bind_to_cookie(outgoing):
            return
        is_resend = False
        indexes = tuple(outgoing.sender.missing(WINDOW_CHUNKS))
        if outgoing.sender.is_complete:
            # All chunks are acknowledged; resending one requests the answer again.
            indexes = (0,)
        for index in indexes:
            sent_ms = outgoing.sent_ms.get(index)
            if sent_ms is not None and now_ms - sent_ms < outgoing.resend_ms:
                continue
            is_resend = is_resend or sent_ms is not None
            outgoing.sent_ms[index] = now_ms
            self._send_chunk(outgoing, index, now_ms)
        if is_resend:
            self.counts.resent += 1
            doubled_ms = outgoing.resend_ms * 2
            outgoing.resend_ms = min(doubled_ms, MAX_RESEND_MS)

    def _bind_to_cookie(self, outgoing: OutgoingRequest) -> bool:
        """Bind the request to the current cookie; return whether that is allowed."""
        if self._resume_requested.is_set() or not self._cookie:
            return False
        if self._generation < outgoing.min_generation:
            return False
        outgoing.cookie = self._cookie
        outgoing.generation = self._generation
        outgoing.resend_ms = FIRST_RESEND_MS
        return True

    def _send_chunk(
        self,
        outgoing: OutgoingRequest,
        index: int,
        now_ms: float,
    ) -> None:
        message = Request(
            request_id=outgoing.request_id,
            service_class=codec.wire_class(outgoing.service_class),
            is_idempotent=outgoing.is_idempotent,
            timeout_ms=max(1, int(outgoing.deadline_ms - now_ms)),
            chunk_index=index,
            chunk_count=len(outgoing.sender.chunks),
            total_bytes=outgoing.total_bytes,
            first_open_request_id=self._first_open_request_id(),
            payload=outgoing.sender.chunks[index],
        )
        outgoing.is_sent = True
        self._send(Packet(request=message), outgoing.cookie)

    def _send_cancel(self, outgoing: OutgoingRequest) -> None:
        if outgoing.cookie:
            cancel = Cancel(request_id=outgoing.request_id)
            self._send(Packet(cancel=cancel), outgoing.cookie)

    def _finish_unanswered(self, outgoing: OutgoingRequest, reason: str) -> None:
        status = Status.UNKNOWN if outgoing.is_sent else Status.NOT_RUN
        outgoing.finish(Answer(status, reason=reason))

    def _first_open_request_id(self) -> int:
        return min(self._outgoing, default=self._next_request_id)

    # Packets from the home instance

    def _receive(self, datagram: bytes) -> None:
        decoded = codec.decode_packet(datagram)
        if isinstance(decoded, Failure):
            self.counts.dropped += 1
            return
        packet = decoded.unwrap()
        flow = FlowId(packet.flow_id)
        flow_key = self._attempt_keys.get(flow)
        if flow_key is None:
            self.counts.dropped += 1
            return
        if not codec.is_authentic(datagram, (flow_key,)):
            self._handle_unauthentic(packet, datagram)
            return
        if flow != self._flow and not self._accept_attempt(flow, packet):
            return
        if packet.upstream_tag and not self._is_from_bound_upstream(packet):
            self._handle_foreign_upstream(packet)
            return
        self._last_received_ms = _now_ms()
        handle = self._handlers.get(packet.WhichOneof('body') or '')
        if handle:
            handle(packet)
        else:
            self.counts.dropped += 1

    def _accept_attempt(self, flow: FlowId, packet: Packet) -> bool:
        """Keep the attempt whose flow is opened first; close later ones."""
        body = packet.WhichOneof('body')
        if self._opened.is_set():
            self.counts.dropped += 1
            if body == 'opened':
                self._send_as(flow, Packet(close=Close()), packet.cookie)
            return False
        if body == 'opened':
            self._flow = flow
        return body in {'opened', 'refused'}

    def _is_from_bound_upstream(self, packet: Packet) -> bool:
        return not self._upstream_tag or packet.upstream_tag == self._upstream_tag

    def _handle_foreign_upstream(self, packet: Packet) -> None:
        # A copy of the open packet was assigned to another upstream. The flow stays
        # at the first upstream, and the flow at this one is closed.
        self.counts.dropped += 1
        if packet.WhichOneof('body') == 'opened':
            self._send(Packet(close=Close()), packet.cookie)

    def _handle_unauthentic(self, packet: Packet, datagram: bytes) -> None:
        # An instance that lacks the client account has no key for the MAC and signs
        # with the public key. Anyone can do so: the refusal is only a hint and does
        # not end the attempts to open the flow.
        is_refusal = packet.WhichOneof('body') == 'refused'
        if is_refusal and codec.is_authentic(datagram, (codec.PUBLIC_KEY,)):
            self._handle_refused(packet)
        else:
            self.counts.dropped += 1

    def _make_handlers(self) -> dict[str, Callable[[Packet], None]]:
        return {
            'opened': self._handle_opened,
            'refused': self._handle_refused,
            'refresh': self._handle_refresh,
            'keepalive_answer': self._handle_keepalive_answer,
            'request_ack': self._handle_request_ack,
            'answer': self._handle_answer,
            'push': self._handle_push,
            'moved': self._handle_moved,
            'reset': self._handle_reset,
        }

    def _handle_opened(self, packet: Packet) -> None:
        if packet.generation < self._generation:
            return
        self.upstream = packet.opened.upstream
        self._upstream_tag = packet.upstream_tag
        self._keepalive_ms = packet.opened.keepalive_ms or self._keepalive_ms
        self._store_cookie(packet)
        self._refusal = None
        self._opened.set()
        self._resume_requested.clear()
        for outgoing in self._outgoing.values():
            outgoing.wake_event.set()

    def _store_cookie(self, packet: Packet) -> None:
        self._generation = packet.generation
        self._cookie = packet.cookie
        self._cookies[packet.generation] = packet.cookie
        while len(self._cookies) > MAX_KEPT_COOKIES:
            self._cookies.pop(min(self._cookies))

    def _handle_refused(self, packet: Packet) -> None:
        text = reason_text(packet.refused.reason)
        self._refusal = OpenError(text, packet.refused.retry_after_ms)

    def _handle_refresh(self, packet: Packet) -> None:
        if packet.generation == self._generation:
            self._store_cookie(packet)
        outgoing = self._outgoing.get(packet.refresh.request_id)
        if outgoing and outgoing.generation == packet.generation:
            outgoing.cookie = packet.cookie
            outgoing.sent_ms.clear()
            outgoing.wake_event.set()

    def _handle_keepalive_answer(self, _packet: Packet) -> None:
        self._link_lost_since_ms = 0

    def _handle_request_ack(self, packet: Packet) -> None:
        ack: RequestAck = packet.request_ack
        outgoing = self._outgoing.get(ack.request_id)
        if outgoing and outgoing.generation == packet.generation:
            previous_index = outgoing.sender.next_index
            outgoing.sender.acknowledge(ack.next_chunk_index, ack.received_bitmap)
            if outgoing.sender.next_index > previous_index:
                outgoing.resend_ms = FIRST_RESEND_MS
                outgoing.wake_event.set()

    def _handle_answer(self, packet: Packet) -> None:
        message = packet.answer
        outgoing = self._outgoing.get(message.request_id)
        if outgoing is None:
            self._acknowledge_finished(packet)
            return
        # An answer of another generation belongs to a fenced copy of the request.
        if outgoing.generation != packet.generation:
            return
        if not 0 < message.chunk_count <= MAX_ANSWER_CHUNKS:
            return
        if outgoing.answer is None:
            outgoing.answer = Reassembly(message.chunk_count)
        outgoing.answer.add(message.chunk_index, message.payload)
        self._acknowledge(outgoing, outgoing.answer)
        if outgoing.answer.is_complete:
            answer = answer_from_message(message, outgoing.answer.body())
            if answer.status is Status.NOT_RUN and outgoing.is_home_lost:
                # An earlier copy of the request may have run at the lost home.
                answer = replace(answer, status=Status.UNKNOWN)
            outgoing.finish(answer)

    def _acknowledge(self, outgoing: OutgoingRequest, answer: Reassembly) -> None:
        ack = AnswerAck(
            request_id=outgoing.request_id,
            next_chunk_index=answer.next_index,
            received_bitmap=answer.bitmap(),
        )
        self._send(Packet(answer_ack=ack), outgoing.cookie)

    def _acknowledge_finished(self, packet: Packet) -> None:
        cookie = self._cookies.get(packet.generation)
        if cookie:
            ack = AnswerAck(
                request_id=packet.answer.request_id,
                next_chunk_index=packet.answer.chunk_count,
            )
            self._send(Packet(answer_ack=ack), cookie)

    def _handle_push(self, packet: Packet) -> None:
        push = packet.push
        if push.push_id > self._next_push_id + PUSH_WINDOW:
            return
        ack = PushAck(push_id=push.push_id)
        self._send(Packet(push_ack=ack), self._cookie)
        if push.push_id >= self._next_push_id:
            self._held_pushes[push.push_id] = push.payload
        while self._next_push_id in self._held_pushes:
            payload = self._held_pushes.pop(self._next_push_id)
            self._next_push_id += 1
            self._pushes.put_nowait(payload)

    def _handle_moved(self, packet: Packet) -> None:
        outgoing = self._outgoing.get(packet.moved.request_id)
        if outgoing and outgoing.generation == packet.generation:
            # The home has fenced the request, so no copy of it has run there.
            outgoing.is_sent = outgoing.is_home_lost
            outgoing.rebind(packet.generation + 1)
        if packet.generation >= self._generation:
            self._resume_requested.set()

    def _handle_reset(self, packet: Packet) -> None:
        text = reason_text(packet.reset.reason)
        if packet.reset.reason == Reason.REASON_HOME_GONE:
            self._handle_home_lost(packet.generation, text)
        elif packet.reset.reason == Reason.REASON_LINK_LOST:
            self._handle_link_lost()
        elif packet.generation >= self._generation:
            # Without a cookie, the flow is not resumed but opened again.
            self._cookie = b''
            self._resume_requested.set()

    def _handle_link_lost(self) -> None:
        """Resume at first: perhaps only the home cannot reach the upstream."""
        now_ms = _now_ms()
        self._link_lost_since_ms = self._link_lost_since_ms or now_ms
        if now_ms - self._link_lost_since_ms > self._options.link_lost_ms:
            self._cookie = b''
        self._resume_requested.set()

    def _handle_home_lost(self, generation: int, reason: str) -> None:
        for outgoing in tuple(self._outgoing.values()):
            if outgoing.generation != generation:
                continue
            if outgoing.is_idempotent:
                outgoing.is_home_lost = outgoing.is_sent
                outgoing.rebind(generation)
            else:
                self._finish_unanswered(outgoing, reason)
        if generation >= self._generation:
            self._resume_requested.set()

    # Sending and tasks

    def _send(self, packet: Packet, cookie: bytes) -> None:
        self._send_as(self._flow, packet, cookie)

    def _send_as(self, flow: FlowId, packet: Packet, cookie: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        packet.flow_id = flow
        packet.cookie = cookie
        packet.sequence = self._sequence
        datagram = codec.encode_packet(packet, self._attempt_keys[flow])
        self._transport.sendto(datagram)

    def _start_task(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _wait_event(event: asyncio.Event, timeout_ms: float) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), timeout_ms / MS_PER_S)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S
