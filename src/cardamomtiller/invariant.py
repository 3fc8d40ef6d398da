"""Assertions inside the program, switched by a setting."""

from loguru import logger

from cardamomtiller.counter import Counters


class InvariantError(AssertionError):
    """An invariant of the system does not hold."""


class Invariants:
    """Check invariants; a violation is counted, logged and raised."""

    def __init__(self, counters: Counters, *, is_enabled: bool) -> None:
        """Remember the switch."""
        self._counters = counters
        self.is_enabled = is_enabled

    def check(self, name: str, is_held: bool, detail: str = '') -> None:
        """
        Check one invariant.

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
