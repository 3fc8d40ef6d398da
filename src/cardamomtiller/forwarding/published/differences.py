"""Differences between two configurations."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from cardamomtiller.forwarding.packet import format_address
from cardamomtiller.forwarding.published.configuration import (
    NO_CONFIGURATION,
    Configuration,
    Route,
)


class ChangeKind(Enum):
    """What happened to an entry or to a field of it."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Change(NamedTuple):
    """
    A difference between two configurations.

    Attributes
    ----------
    entry
        ``configuration``, ``route ADDRESS:PORT`` or ``service NAME``.
    field
        Name of the changed field; empty if the whole entry was added or removed.
    before, after
        Text of the field; of an added or removed entry, the text of all fields.
    """

    kind: ChangeKind
    entry: str
    field: str
    before: str
    after: str


def find_differences(before: Configuration, after: Configuration) -> Iterator[Change]:
    """Iterate over what changes if one configuration replaces another."""
    yield from _compare_entries(
        {'configuration': _describe_whole(before)},
        {'configuration': _describe_whole(after)},
    )
    yield from _compare_entries(_describe_routes(before), _describe_routes(after))
    yield from _compare_entries(_describe_limits(before), _describe_limits(after))


_Fields = Mapping[str, str]


def _compare_entries(
    before: Mapping[str, _Fields], after: Mapping[str, _Fields]
) -> Iterator[Change]:
    for entry in sorted(before.keys() | after.keys()):
        if not before.get(entry):
            yield Change(ChangeKind.ADDED, entry, '', '', _join_fields(after[entry]))
        elif entry not in after:
            yield Change(ChangeKind.REMOVED, entry, '', _join_fields(before[entry]), '')
        else:
            yield from _compare_fields(entry, before[entry], after[entry])


def _compare_fields(entry: str, before: _Fields, after: _Fields) -> Iterator[Change]:
    for field, text in after.items():
        if text != before[field]:
            yield Change(ChangeKind.CHANGED, entry, field, before[field], text)


def _join_fields(fields: _Fields) -> str:
    return ', '.join(f'{name} {text}' for name, text in fields.items())


def _describe_whole(configuration: Configuration) -> _Fields:
    if configuration == NO_CONFIGURATION:
        return {}
    return {
        'version': str(configuration.version),
        'idle_timeout_ms': _describe(configuration.idle_timeout_ms),
    }


def _describe_routes(configuration: Configuration) -> dict[str, _Fields]:
    return {
        f'route {format_address(address)}': _describe_route(route)
        for address, route in configuration.routes.items()
    }


def _describe_route(route: Route) -> _Fields:
    fields = route._asdict()
    del fields['address']
    fields['shares'] = ' '.join(
        f'{share.service}:{share.weight}' for share in route.shares
    )
    return {name: _describe(field) for name, field in fields.items()}


def _describe_limits(configuration: Configuration) -> dict[str, _Fields]:
    return {
        f'service {service}': {
            name: _describe(limit) for name, limit in limits._asdict().items()
        }
        for service, limits in configuration.service_limits.items()
    }


def _describe(field: Any) -> str:
    # The texts are compared, so none may be rounded.
    is_whole = isinstance(field, float) and field.is_integer()
    return str(int(field) if is_whole else field)
