"""Findings: errors collected with their place and reported together."""

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a finding was made: a file or document, a section and a key."""

    source: str
    section: str = ''
    key: str = ''

    def __str__(self) -> str:
        """Return the place as ``source: [section] key``."""
        text = self.source
        if self.section:
            text += f': [{self.section}]'
        if self.key:
            text += f' {self.key}'
        return text


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error and its place."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Return one line for people."""
        return f'{self.place}: {self.message}'


@dataclass(slots=True)
class Findings:
    """Collect findings in the order in which they are made."""

    items: list[Finding] = field(default_factory=list)

    def add(self, place: Place, message: str) -> None:
        """Add one finding."""
        self.items.append(Finding(place, message))

    def __iter__(self) -> Iterator[Finding]:
        """Iterate over the findings."""
        return iter(self.items)

    def __len__(self) -> int:
        """Return how many findings there are."""
        return len(self.items)

    def as_tuple(self) -> tuple[Finding, ...]:
        """Return the findings, each once, in order."""
        return tuple(dict.fromkeys(self.items))
