"""When the settings of a running process are read again."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomtiller.forwarding.endpoints import EndpointOptions

CHECK_INTERVAL_MS = 1000.0


class SettingsSource(ABC):
    """Where a process reads its settings."""

    @abstractmethod
    def read_content(self) -> bytes:
        """
        Return the settings as they are written.

        Raises
        ------
        OSError
            If they cannot be read.
        """

    @abstractmethod
    def endpoint_options(self) -> 'EndpointOptions':
        """
        Return the options that the settings mean.

        Raises
        ------
        OSError, ValueError, KeyError, TypeError
            If they cannot be read, or are not as agreed.
        """


class SettingsWatch:
    """
    Decides when to read the settings again: on request, and when they differ.

    The settings may change without a signal, and a signal may come without a change.
    """

    def __init__(self, source: SettingsSource) -> None:
        """Start without a known content."""
        self._source = source
        self._content: bytes | None = None
        self._next_check_ms: float = 0
        self._is_reload_requested = False

    def request_reload(self) -> None:
        """Have the settings read again at the next look."""
        self._is_reload_requested = True

    def is_reload_due(self, now_ms: float) -> bool:
        """Return whether the settings are to be read again now."""
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
            # Reading the settings again reports the error.
            return True
        previous = self._content
        self._content = content
        return previous is not None and content != previous
