"""Failure domains whose upstreams get no new flows at the operator's request."""

from collections.abc import Iterator

from cardamomtiller.ids import DomainName


class Evacuations:
    """
    Evacuated failure domains.

    An evacuation lasts ``end_delay_ms`` beyond the removal of its record, because a
    source that was restored from an older copy lacks the record until the operator
    writes it again.
    """

    def __init__(self, end_delay_ms: float) -> None:
        """Start without evacuated failure domains."""
        self._end_delay_ms = end_delay_ms
        self._domains: set[DomainName] = set()
        self._removed_ms: dict[DomainName, float] = {}

    def __contains__(self, domain: DomainName) -> bool:
        """Return whether a failure domain is evacuated."""
        return domain in self._domains

    def start(self, domain: DomainName) -> None:
        """Evacuate a failure domain."""
        self._domains.add(domain)
        self._removed_ms.pop(domain, None)

    def record_removal(self, domain: DomainName, now_ms: float) -> None:
        """End the evacuation after the delay, unless it is started again."""
        if domain in self._domains:
            self._removed_ms[domain] = now_ms

    def expire(self, now_ms: float) -> Iterator[DomainName]:
        """End the evacuations whose delay has passed, and yield their domains."""
        for domain, removed_ms in tuple(self._removed_ms.items()):
            if now_ms - removed_ms > self._end_delay_ms:
                del self._removed_ms[domain]
                self._domains.discard(domain)
                yield domain
