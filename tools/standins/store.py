"""
Stand-in for the key-value store that the platform adapter reads and watches.

It answers ``GET /kv-range`` and ``GET /kv-watch`` from memory. The test writes items
with ``put`` and ``remove`` and injects a fault by setting ``fault``; ``copy`` and
``restore`` make the store return to an earlier state, with a higher epoch.
"""

import base64
import json
import threading
import time
from dataclasses import dataclass
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

SILENT_DELAY_S = 30.0
MAX_WAIT_S = 30.0
ITEMS_PER_PAGE = 50


class Fault(Enum):
    """
    Faults of the responses.

    ``BUSY``, ``MANY`` and ``GONE``: every response has an error status. ``RESET``:
    connections are closed without a response. ``SILENT``: they are closed after a
    delay. ``NOISE``: the body is malformed JSON.
    """

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    GONE = 'gone'
    NOISE = 'noise'


@dataclass(frozen=True)
class StoreCopy:
    """Items, history and revision of the store at one moment."""

    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]
    revision: int


FAULT_STATUS = {Fault.BUSY: 503, Fault.MANY: 429, Fault.GONE: 410}


class Store:
    """Items and their history, with an HTTP server that runs in separate threads."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Start the server at an address; port 0 selects a free port."""
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._epoch = 1
        # What was written last under each key, also if a restore has lost it.
        self._written: dict[str, object] = {}
        self.fault = Fault.NONE
        self.request_count = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            """Answers the requests of one connection."""

            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                """Answer one request; the client may have disconnected meanwhile."""
                try:
                    store.answer(self)
                except ConnectionError:
                    self.close_connection = True

            def log_message(self, *_: object) -> None:
                """Suppress the access log."""

        self._server = ThreadingHTTPServer(address, Handler)
        self._server.daemon_threads = True
        self.address: tuple[str, int] = self._server.server_address[:2]  # type: ignore[assignment]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, value: object) -> int:
        """Write bytes unchanged, any other value as JSON; return the revision."""
        with self._changed:
            self._revision += 1
            item = {
                'key': key,
                'value': _encode(value),
                'revision': self._revision,
                'create_revision': self._revision,
                'lease': 0,
            }
            self._items[key] = item
            self._written[key] = value
            self._history.append(item)
            self._changed.notify_all()
            return self._revision

    def remove(self, key: str) -> int:
        """Remove an item and return the revision."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._written.pop(key, None)
            event = {'key': key, 'revision': self._revision, 'removed': True}
            self._history.append(event)
            self._changed.notify_all()
            return self._revision

    def clear_history(self) -> None:
        """Delete the history, so that watches of earlier revisions get status 410."""
        with self._changed:
            self._history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        with self._changed:
            return StoreCopy(dict(self._items), tuple(self._history), self._revision)

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy, and give out its next revisions again."""
        with self._changed:
            self._items = dict(copy.items)
            self._history = list(copy.history)
            self._revision = copy.revision
            self._epoch += 1
            self._changed.notify_all()

    def lost_keys(self) -> list[str]:
        """Return the keys whose last write or removal a restore has lost."""
        with self._changed:
            keys = {**self._items, **self._written}
            return [key for key in keys if self._is_lost(key)]

    def is_written(self, key: str) -> bool:
        """Return whether the last change of a key was a write and not a removal."""
        with self._changed:
            return key in self._written

    def write_again(self, key: str) -> None:
        """Repeat the last write or removal of a key if a restore has lost it."""
        with self._changed:
            is_lost, is_written = self._is_lost(key), key in self._written
            value = self._written.get(key)
        if is_lost and is_written:
            self.put(key, value)
        elif is_lost:
            self.remove(key)

    def _is_lost(self, key: str) -> bool:
        item = self._items.get(key)
        if item is None or key not in self._written:
            return item is not None or key in self._written
        return bool(item['value'] != _encode(self._written[key]))

    def close(self) -> None:
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def answer(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer one request, subject to the fault."""
        self.request_count += 1
        fault = self.fault
        if fault is Fault.SILENT:
            time.sleep(SILENT_DELAY_S)
        if fault in {Fault.RESET, Fault.SILENT}:
            handler.close_connection = True
            return
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body: Any
        if fault in FAULT_STATUS:
            status, body = FAULT_STATUS[fault], {'error': fault.value}
        elif url.path == '/kv-range':
            status, body = 200, self._list_range(query)
        elif url.path == '/kv-watch':
            status, body = self._watch(query)
        else:
            status, body = 404, {'error': 'not found'}
        with self._changed:
            epoch = self._epoch
        encoded = b'{"noise' if fault is Fault.NOISE else json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header('Content-Type', 'application/json')
        handler.send_header('Store-Era', str(epoch))
        handler.send_header('Content-Length', str(len(encoded)))
        handler.end_headers()
        handler.wfile.write(encoded)

    def _list_range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        with self._changed:
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            page = [self._items[key] for key in keys[:ITEMS_PER_PAGE]]
            return {
                'items': page,
                'has_more': len(keys) > ITEMS_PER_PAGE,
                'as_of': self._revision,
            }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        deadline_s = time.monotonic() + int(query['wait_ms']) / 1000
        with self._changed:
            while True:
                if after > self._revision:
                    return 410, {'error': 'revision is not in the history'}
                oldest_revision = (
                    self._history[0]['revision'] if self._history else None
                )
                is_lost = after < self._revision and (
                    oldest_revision is None or after + 1 < oldest_revision
                )
                if is_lost and after:
                    return 410, {'error': 'history has been compacted'}
                events = [event for event in self._history if event['revision'] > after]
                remaining_s = deadline_s - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {'events': events, 'as_of': self._revision}
                self._changed.wait(min(remaining_s, MAX_WAIT_S))


def _encode(value: object) -> str:
    encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(encoded).decode()
