"""Run-time checks of invariants, which a setting enables."""

from loguru import logger

from cardamomtiller.counter import Counters


class InvariantError(AssertionError):
    """Raised when a checked invariant does not hold."""


class Invariants:
    """Check invariants; count, log and raise a violation."""

    def __init__(self, counters: Counters, *, is_enabled: bool) -> None:
        """Create the checker; it does nothing unless ``is_enabled`` is true."""
        self._counters = counters
        self.is_enabled = is_enabled

    def check(self, name: str, is_held: bool, detail: str = '') -> None:
        """
        Raise an error if an invariant is violated.

        Parameters
        ----------
        name
            Name of the invariant, part of the counter and the log line.
        is_held
            Whether the invariant holds.
        detail
            Values that show the violation, for the log line and the error.

        Raises
        ------
        InvariantError
            If the invariant does not hold and checks are enabled.
        """
        if is_held or not self.is_enabled:
            return
        self._counters.add(f'invariant.violated.{name}')
        logger.error('invariant {} violated: {}', name, detail)
        raise InvariantError(f'{name}: {detail}')
