"""Validation errors with their place, collected and reported together."""

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Location of a finding: a file or document, its section and its key."""

    source: str
    section: str = ''
    key: str = ''

    def __str__(self) -> str:
        """Return ``source: [section] key`` without the empty fields."""
        text = self.source
        if self.section:
            text += f': [{self.section}]'
        if self.key:
            text += f' {self.key}'
        return text


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Validation error at a place in settings or a document."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Return ``place: message`` in one line."""
        return f'{self.place}: {self.message}'


@dataclass(slots=True)
class Findings:
    """Collect findings in the order in which they are added."""

    items: list[Finding] = field(default_factory=list)

    def add(self, place: Place, message: str) -> None:
        """Append a finding."""
        self.items.append(Finding(place, message))

    def __iter__(self) -> Iterator[Finding]:
        """Iterate over the findings, duplicates included."""
        return iter(self.items)

    def __len__(self) -> int:
        """Return the number of findings, duplicates included."""
        return len(self.items)

    def as_tuple(self) -> tuple[Finding, ...]:
        """Return the findings without duplicates, in order of first addition."""
        return tuple(dict.fromkeys(self.items))
