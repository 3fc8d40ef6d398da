"""Detection of changed settings in a running process."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomtiller.forwarding.endpoints import EndpointOptions

CHECK_INTERVAL_MS = 1000.0


class SettingsSource(ABC):
    """The place from which a process reads its settings."""

    @abstractmethod
    def read_content(self) -> bytes:
        """
        Return the settings as raw bytes.

        Raises
        ------
        OSError
            If the settings cannot be read.
        """

    @abstractmethod
    def endpoint_options(self) -> 'EndpointOptions':
        """
        Read the settings and return the endpoint options.

        Raises
        ------
        OSError, ValueError, KeyError, TypeError
            If the settings cannot be read or are invalid.
        """


class SettingsWatch:
    """
    Decides when to reload the settings: on request, and when their content changes.

    Both are needed, because the platform may change the settings without a signal, and
    send a signal without a change.
    """

    def __init__(self, source: SettingsSource) -> None:
        """Start without content; the first check only records it."""
        self._source = source
        self._content: bytes | None = None
        self._next_check_ms: float = 0
        self._is_reload_requested = False

    def request_reload(self) -> None:
        """Make the next ``is_reload_due`` return True."""
        self._is_reload_requested = True

    def is_reload_due(self, now_ms: float) -> bool:
        """Return whether to reload now; the content is checked once an interval."""
        if self._is_reload_requested:
            self._is_reload_requested = False
            return True
        if now_ms < self._next_check_ms:
            return False
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        return self._is_changed()

    def _is_changed(self) -> bool:
        try:
            content = self._source.read_content()
        except OSError:
            # The reload that follows logs the error.
            return True
        previous = self._content
        self._content = content
        return previous is not None and content != previous
