"""Options of the quota of upstreams in slow start."""

from typing import NamedTuple


class WarmupOptions(NamedTuple):
    """
    Bound on the requests of an upstream in its slow-start period.

    In any second, all instances together send at most the rate that the configuration
    states for the service, times ``overshoot``, plus ``slack`` requests.

    Attributes
    ----------
    overshoot
        Factor of the stated rate.
    slack
        Requests that are allowed beyond it.
    """

    overshoot: float
    slack: float
