"""The metrics page, whose library is loaded by the first reader."""

import threading
from collections.abc import Callable

from cardamomtiller.forwarding.httpserver import Reply, Request
from cardamomtiller.forwarding.meters import Meters

LOADING = Reply(503, 'text/plain', b'metrics are being loaded\n')
RenderMetrics = Callable[[Meters], tuple[str, bytes]]


class MetricsPage:
    """
    Answers readers of the metrics.

    The library takes longer to import than a packet may wait, so it is imported in
    a thread, and only once somebody reads the page.
    """

    def __init__(self, meters: Meters) -> None:
        """Serve ``meters``."""
        self._meters = meters
        self._render: RenderMetrics | None = None
        self._loader: threading.Thread | None = None

    def answer(self, _request: Request, _now_ms: float) -> Reply | None:
        """Return the page."""
        if self._render is None:
            if self._loader is None:
                self._loader = threading.Thread(target=self._load, daemon=True)
                self._loader.start()
            return LOADING
        content_type, body = self._render(self._meters)
        return Reply(200, content_type, body)

    def _load(self) -> None:
        from cardamomtiller.forwarding.exposition import render

        self._render = render
