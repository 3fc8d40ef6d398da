"""Options of the scheduling of the instance's own link."""

from typing import NamedTuple


class LinkOptions(NamedTuple):
    """
    The link as the settings state it.

    Attributes
    ----------
    bytes_per_ms
        Rate of the link in each direction.
    """

    bytes_per_ms: float
