"""Record of requests that keeps duplicates from running twice."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from cardamomtiller.identity import FlowId, RequestId, RequestKey


class RecordState(Enum):
    """Recorded state of a request."""

    NEW = 'new'
    RUNNING = 'running'
    ANSWERED = 'answered'
    FENCED = 'fenced'
    FINISHED = 'finished'


@dataclass(slots=True)
class _Entry:
    state: RecordState
    generation: int
    last_used_ms: float


class DuplicateRecord:
    """
    Keep the state of each request for as long as a duplicate could be started.

    An entry is removed ``retention_ms`` after its last use, or when the caller
    reports the request as finished. From then on the watermark of the flow, the
    lowest request id that is still open, identifies the request as finished.
    Memory is bounded by the request rate times ``retention_ms``.

    A fenced request must not be started under the generation of the flow that
    the fence was set for, or an earlier one. The caller may send a moved request
    again under a later generation.
    """

    def __init__(self, retention_ms: float) -> None:
        """Create an empty record."""
        self.retention_ms = retention_ms
        self._entries: OrderedDict[RequestKey, _Entry] = OrderedDict()
        self._by_flow: dict[FlowId, set[RequestKey]] = {}
        self._watermarks: OrderedDict[FlowId, tuple[RequestId, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests with an entry."""
        return len(self._entries)

    def watermark_count(self) -> int:
        """Return the number of flows with a watermark."""
        return len(self._watermarks)

    def look_up(self, request: RequestKey, generation: int) -> RecordState:
        """Return the state of a request without updating its last use."""
        watermark = self._watermarks.get(request.flow)
        if watermark and request.request < watermark[0]:
            return RecordState.FINISHED
        entry = self._entries.get(request)
        if entry is None:
            return RecordState.NEW
        if entry.state is RecordState.FENCED and generation > entry.generation:
            return RecordState.NEW
        return entry.state

    def begin(self, request: RequestKey, generation: int, now_ms: float) -> RecordState:
        """
        Record a new request as running; return its state before the call.

        The request may be started only if the returned state is ``NEW``.
        """
        state = self.look_up(request, generation)
        if state is RecordState.NEW:
            self._store(request, RecordState.RUNNING, generation, now_ms)
        elif state is not RecordState.FINISHED:
            self._entries[request].last_used_ms = now_ms
            self._entries.move_to_end(request)
        return state

    def answer(self, request: RequestKey, generation: int, now_ms: float) -> None:
        """Record a request as answered, unless the caller has finished it."""
        if self.look_up(request, generation) is not RecordState.FINISHED:
            self._store(request, RecordState.ANSWERED, generation, now_ms)

    def fence(self, request: RequestKey, generation: int, now_ms: float) -> bool:
        """
        Prevent a request from being started under a generation.

        Returns
        -------
        bool
            Whether the request is fenced; False if it was already started,
            answered or finished.
        """
        state = self.look_up(request, generation)
        if state not in {RecordState.NEW, RecordState.FENCED}:
            return False
        self._store(request, RecordState.FENCED, generation, now_ms)
        return True

    def fence_queued(
        self,
        request: RequestKey,
        generation: int,
        now_ms: float,
    ) -> None:
        """Fence a request that is recorded as running but was not sent upstream."""
        if self.look_up(request, generation) is not RecordState.FINISHED:
            self._store(request, RecordState.FENCED, generation, now_ms)

    def finish_below(
        self,
        flow: FlowId,
        first_open: RequestId,
        now_ms: float,
    ) -> tuple[RequestKey, ...]:
        """Raise the flow's watermark; remove and return the requests below it."""
        if first_open <= 0:
            return ()
        watermark = self._watermarks.get(flow, (RequestId(0), now_ms))[0]
        self._watermarks[flow] = (max(watermark, first_open), now_ms)
        self._watermarks.move_to_end(flow)
        if first_open <= watermark:
            return ()
        flow_requests = self._by_flow.get(flow, set())
        finished = tuple(key for key in flow_requests if key.request < first_open)
        for request in finished:
            self._drop(request)
        return finished

    def expire(self, now_ms: float) -> int:
        """Remove expired entries and watermarks; return the number of entries."""
        limit_ms = now_ms - self.retention_ms
        expired = tuple(self._older_than(limit_ms))
        for request in expired:
            self._drop(request)
        while self._watermarks:
            flow, (_, last_used_ms) = next(iter(self._watermarks.items()))
            if last_used_ms >= limit_ms:
                break
            self._watermarks.pop(flow)
        return len(expired)

    def _older_than(self, limit_ms: float) -> Iterator[RequestKey]:
        for request, entry in self._entries.items():
            if entry.last_used_ms >= limit_ms:
                return
            yield request

    def _store(
        self,
        request: RequestKey,
        state: RecordState,
        generation: int,
        now_ms: float,
    ) -> None:
        previous = self._entries.get(request)
        highest_generation = (
            max(generation, previous.generation) if previous else generation
        )
        self._entries[request] = _Entry(state, highest_generation, now_ms)
        self._entries.move_to_end(request)
        self._by_flow.setdefault(request.flow, set()).add(request)

    def _drop(self, request: RequestKey) -> None:
        self._entries.pop(request, None)
        flow_requests = self._by_flow.get(request.flow)
        if flow_requests:
            flow_requests.discard(request)
            if not flow_requests:
                self._by_flow.pop(request.flow)
