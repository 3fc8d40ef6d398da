"""The metrics page; its library is imported on the first request."""

import threading
from collections.abc import Callable

from cardamomtiller.forwarding.sockets.httpserver import Reply, Request
from cardamomtiller.forwarding.telemetry.meters import Meters

LOADING = Reply(503, 'text/plain', b'metrics are being loaded\n')
RenderMetrics = Callable[[Meters], tuple[str, bytes]]


class MetricsPage:
    """
    Answers requests for the metrics page.

    Importing the Prometheus library takes longer than a packet may wait, so a separate
    thread imports it on the first request. Until then the page answers with status 503.
    """

    def __init__(self, meters: Meters) -> None:
        """Render ``meters`` on each request."""
        self._meters = meters
        self._render: RenderMetrics | None = None
        self._loader: threading.Thread | None = None

    def answer(self, _request: Request, _now_ms: float) -> Reply | None:
        """Return the rendered metrics, or status 503 while the library is loading."""
        if self._render is None:
            if self._loader is None:
                self._loader = threading.Thread(target=self._load, daemon=True)
                self._loader.start()
            return LOADING
        content_type, body = self._render(self._meters)
        return Reply(200, content_type, body)

    def _load(self) -> None:
        from cardamomtiller.forwarding.telemetry.exposition import render

        self._render = render
