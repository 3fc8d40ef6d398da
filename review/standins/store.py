"""Stand-in of the platform's metadata store: ``kv-key``, ``kv-range`` and ``kv-watch``.

It keeps items in memory under one revision counter. The owner of the object writes with
``put`` and ``remove``; both return after the change, which is the acknowledgement. While
``is_down`` is set, every connection is closed without an answer.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000


class Server(ThreadingHTTPServer):
    """An HTTP server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore clients that have disconnected."""


class Store:
    """Items, their history, and HTTP servers that read them."""

    def __init__(self):
        """Start without items and without a server."""
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 1
        self._servers = []
        self._turned_away = set()
        self._is_down = False

    def listen(self, host):
        """Serve at a free port of a host, and return the address."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            """Answers the requests of one connection."""

            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_GET(self):
                """Answer one request."""
                store._answer(self)

            def log_message(self, *_):
                """Write no access log."""

        server = Server((host, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)
        return server.server_address[:2]

    def close(self, address):
        """Stop serving at an address: later connections are refused."""
        for server in self._servers:
            if server.server_address[:2] == tuple(address):
                server.shutdown()
                server.server_close()
                self._servers.remove(server)
                return

    def set_down(self, is_down):
        """Go down or come back; waiting watches are cut when the store goes down."""
        with self._changed:
            self._is_down = is_down
            self._changed.notify_all()

    def turn_away(self, addresses):
        """Answer 503 to those who read at these addresses, and serve the others."""
        with self._changed:
            self._turned_away = {tuple(address) for address in addresses}
            self._changed.notify_all()

    def put(self, key, value):
        """Write bytes as they are and any other value as JSON; return the revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get('create_revision', self._revision)
            item = {
                'key': key,
                'value': base64.b64encode(raw).decode(),
                'revision': self._revision,
                'create_revision': created,
                'lease': 0,
            }
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()
            return self._revision

    def remove(self, key):
        """Remove an item and return the revision."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {'key': key, 'revision': self._revision, 'removed': True}
            self._history.append(event)
            self._changed.notify_all()
            return self._revision

    def _answer(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self._is_down:
            handler.close_connection = True
            return
        address = handler.server.server_address[:2]
        if address in self._turned_away:
            status, body = 503, {}
        elif url.path == '/kv-range':
            status, body = 200, self._range(query)
        elif url.path == '/kv-watch':
            status, body = self._watch(query, address)
        elif url.path == '/kv-key':
            status, body = self._key(query)
        else:
            status, body = 404, {}
        if self._is_down:
            handler.close_connection = True
            return
        encoded = json.dumps(body).encode()
        try:
            handler.send_response(status)
            handler.send_header('Content-Type', 'application/json')
            handler.send_header('Content-Length', str(len(encoded)))
            handler.end_headers()
            handler.wfile.write(encoded)
        except OSError:
            handler.close_connection = True

    def _key(self, query):
        with self._changed:
            item = self._items.get(query.get('key', ''))
            if item is None:
                return 404, {'as_of': self._revision}
            return 200, {**item, 'as_of': self._revision}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        with self._changed:
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            return {
                'items': [self._items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'as_of': self._revision,
            }

    def _watch(self, query, address):
        after, prefix = int(query['after']), query.get('prefix', '')
        wait_s = min(int(query['wait_ms']), MAX_WAIT_MS) / 1000
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while not self._is_down and address not in self._turned_away:
                events = [
                    event
                    for event in self._history
                    if event['revision'] > after and event['key'].startswith(prefix)
                ]
                remaining_s = deadline_s - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {'events': events, 'as_of': self._revision}
                self._changed.wait(remaining_s)
        return 503, {}
