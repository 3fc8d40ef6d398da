"""Proxies between forwarding instances and the stand-in store."""

import asyncio
import threading
from abc import ABC, abstractmethod

from tools.standins.proxy import Rule, Rules, StreamProxy

LINK_BASE_PORT = 9100


class StoreLinks(ABC):
    """Interface of proxies between the instances and the store."""

    @abstractmethod
    def open(
        self,
        host: str,
        link_host: str,
        target: tuple[str, int],
    ) -> tuple[str, int]:
        """Open a proxy for an instance and return the address of the proxy."""


class ProxyLinks(StoreLinks):
    """Proxies between each instance and the store, run by a separate event loop."""

    def __init__(self, seed: int) -> None:
        """Start the event loop in a thread; ``open`` adds a proxy."""
        self._loop = asyncio.new_event_loop()
        # The rules break connections on purpose, so their errors are not reported.
        self._loop.set_exception_handler(lambda *_: None)
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._rules = self._run_in_loop(self._make_rules(seed))
        self._link_count = 0

    def open(
        self,
        host: str,
        link_host: str,
        target: tuple[str, int],
    ) -> tuple[str, int]:
        """Listen for an instance on a separate port."""
        self._link_count += 1
        address = (link_host, LINK_BASE_PORT + self._link_count)
        self._run_in_loop(self._listen(host, address, target))
        return address

    def set(self, host: str, rule: Rule) -> None:
        """Apply a fault rule to the connections of an instance."""
        self._loop.call_soon_threadsafe(self._rules.set, host, rule)

    def clear(self, host: str) -> None:
        """Remove the fault rule of an instance."""
        self._loop.call_soon_threadsafe(self._rules.clear, host)

    def close(self) -> None:
        """Close all connections and stop the event loop."""
        self._run_in_loop(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_all(self) -> None:
        other_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in other_tasks:
            task.cancel()
        await asyncio.gather(*other_tasks, return_exceptions=True)

    async def _make_rules(self, seed: int) -> Rules:
        return Rules(seed)

    async def _listen(
        self,
        host: str,
        address: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        proxy = StreamProxy(
            self._rules, lambda: [target], lambda *_: host, lambda _: 's'
        )
        await proxy.listen(address)

    def _run_in_loop(self, coroutine):  # type: ignore[no-untyped-def]
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)
