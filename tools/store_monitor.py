"""Observation of the stand-in store: the periods in which it does not answer in time."""

import http.client
import threading
import time
from collections.abc import Iterator

# Below it a slow answer does not make the change of an instance late.
MAX_ANSWER_S = 0.5
INTERVAL_S = 0.1
TIMEOUT_S = 30.0


class StoreMonitor:
    """Reads from the store regularly, in a thread, as an undisturbed instance would."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Start to read at an address, such as that of a proxy without rules."""
        self._address = address
        self._started_s: float | None = None
        self._stopped = threading.Event()
        # Start and end of each read that took too long; an error ends a read too.
        self.slow_reads: list[tuple[float, float]] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def is_slow_between(self, start_s: float, end_s: float) -> bool:
        """Return whether the store took too long to answer at any time in a period."""
        return any(
            started_s < end_s and ended_s > start_s
            for started_s, ended_s in (*self.slow_reads, *self._slow_read_in_progress())
        )

    def stop(self) -> None:
        """End after the read in progress."""
        self._stopped.set()
        self._thread.join()

    def _slow_read_in_progress(self) -> Iterator[tuple[float, float]]:
        started_s, now_s = self._started_s, time.monotonic()
        if started_s is not None and now_s - started_s > MAX_ANSWER_S:
            yield started_s, now_s

    def _run(self) -> None:
        while not self._stopped.wait(INTERVAL_S):
            self._started_s = time.monotonic()
            is_answered = self._read()
            ended_s = time.monotonic()
            if not is_answered or ended_s - self._started_s > MAX_ANSWER_S:
                self.slow_reads.append((self._started_s, ended_s))
            self._started_s = None

    def _read(self) -> bool:
        connection = http.client.HTTPConnection(*self._address, timeout=TIMEOUT_S)
        try:
            connection.request('GET', '/kv-range?prefix=monitor')
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
