"""Rules that a decodable configuration can still break.

A configuration that breaks them is applied or ignored without a report: an entry has no
effect, or a limit makes another one meaningless.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.packet import RouteAddress, format_address
from cardamomtiller.forwarding.published.configuration import (
    NO_CONFIGURATION,
    Configuration,
    Route,
    ServiceLimits,
)
from cardamomtiller.ids import ServiceName


class Severity(Enum):
    """
    Effect of a broken rule.

    ``ERROR``: instances cannot use the configuration or the entry. ``WARNING``: they
    use it, but probably not as intended.
    """

    ERROR = 'error'
    WARNING = 'warning'


class EntryKind(Enum):
    """Part of a configuration that a rule is about."""

    CONFIGURATION = 'configuration'
    ROUTE = 'route'
    SERVICE = 'service'


class EntryPosition(NamedTuple):
    """Kind of an entry and its index among the entries of this kind."""

    kind: EntryKind
    row_index: int = 0


class Inconsistency(NamedTuple):
    """
    A broken rule.

    Attributes
    ----------
    field
        Name of the field of ``Configuration``, ``Route`` or ``ServiceLimits``; ``name``
        for the service that the limits belong to.
    """

    severity: Severity
    entry: EntryPosition
    field: str
    message: str


class StatedLimits(NamedTuple):
    """A service and the limits that an entry states for its upstreams."""

    service: ServiceName
    limits: ServiceLimits


class StatedConfiguration(NamedTuple):
    """
    A configuration with the entries it was made from.

    Attributes
    ----------
    configuration
        What instances use; of several entries for one address or service, the last one.
    routes
        All stated routes in their order.
    services
        All stated limits in their order.
    """

    configuration: Configuration
    routes: tuple[Route, ...]
    services: tuple[StatedLimits, ...]


WHOLE_CONFIGURATION = EntryPosition(EntryKind.CONFIGURATION)


def find_inconsistencies(
    stated: StatedConfiguration, in_force: Configuration = NO_CONFIGURATION
) -> Iterator[Inconsistency]:
    """
    Iterate over the rules that a configuration breaks.

    Parameters
    ----------
    stated
        The configuration to check.
    in_force
        The configuration that instances use now.
    """
    yield from _check_version(stated.configuration, in_force)
    yield from _check_idle_timeout(stated.configuration)
    yield from _find_replaced_routes(stated.routes)
    for index, route in enumerate(stated.routes):
        yield from _check_route(EntryPosition(EntryKind.ROUTE, index), route)
    yield from _find_replaced_limits(stated.services)
    yield from _find_unused_services(stated)
    for index, service in enumerate(stated.services):
        yield from _check_slow_start(
            EntryPosition(EntryKind.SERVICE, index), service.limits
        )


def _check_version(
    configuration: Configuration, in_force: Configuration
) -> Iterator[Inconsistency]:
    if configuration.precedes(in_force):
        message = (
            f'{configuration.version} is below {in_force.version}, which is in force'
        )
        yield Inconsistency(
            Severity.ERROR,
            WHOLE_CONFIGURATION,
            'version',
            f'{message}; instances ignore the configuration',
        )
    elif configuration.version == in_force.version and configuration != in_force:
        # Instances apply it when they read it after the other one, but a version that
        # is confirmed by several sources does not tell which of the two they have.
        yield Inconsistency(
            Severity.WARNING,
            WHOLE_CONFIGURATION,
            'version',
            f'{configuration.version} is in force with other content; use a higher one',
        )


def _check_idle_timeout(configuration: Configuration) -> Iterator[Inconsistency]:
    routes = configuration.routes.values()
    longest = max(routes, key=lambda route: route.timeout_ms, default=None)
    if longest is not None and configuration.idle_timeout_ms < longest.timeout_ms:
        yield Inconsistency(
            Severity.WARNING,
            WHOLE_CONFIGURATION,
            'idle_timeout_ms',
            f'{configuration.idle_timeout_ms:.15g} is below the timeout of '
            f'{longest.timeout_ms:.15g} ms of route {longest.name}; '
            'flows that wait for an answer count as idle',
        )


def _find_replaced_routes(routes: tuple[Route, ...]) -> Iterator[Inconsistency]:
    last_routes: dict[RouteAddress, Route] = {route.address: route for route in routes}
    for index, route in enumerate(routes):
        last_route = last_routes[route.address]
        if route is not last_route:
            yield Inconsistency(
                Severity.WARNING,
                EntryPosition(EntryKind.ROUTE, index),
                'address',
                f'never matches; the later route {last_route.name} also has '
                f'{format_address(route.address)}',
            )


def _check_route(position: EntryPosition, route: Route) -> Iterator[Inconsistency]:
    if not route.shares:
        yield Inconsistency(
            Severity.ERROR, position, 'shares', 'no service gets a share of the flows'
        )
    if route.timeout_ms <= 0:
        yield Inconsistency(
            Severity.WARNING,
            position,
            'timeout_ms',
            f'{route.timeout_ms:.15g}; no request can be answered before its timeout',
        )
    elif route.target_latency_ms <= 0:
        yield Inconsistency(
            Severity.WARNING,
            position,
            'target_latency_ms',
            f'{route.target_latency_ms:.15g}; no request can meet the objective',
        )
    if route.target_latency_ms > route.timeout_ms:
        yield Inconsistency(
            Severity.WARNING,
            position,
            'target_latency_ms',
            f'{route.target_latency_ms:.15g} is above the timeout of '
            f'{route.timeout_ms:.15g} ms; requests time out before they miss it',
        )


def _find_replaced_limits(
    services: tuple[StatedLimits, ...],
) -> Iterator[Inconsistency]:
    last_indexes = {service.service: index for index, service in enumerate(services)}
    for index, service in enumerate(services):
        if last_indexes[service.service] != index:
            yield Inconsistency(
                Severity.WARNING,
                EntryPosition(EntryKind.SERVICE, index),
                'name',
                f'has no effect; a later entry is also for service {service.service}',
            )


def _find_unused_services(stated: StatedConfiguration) -> Iterator[Inconsistency]:
    routes = stated.configuration.routes.values()
    used_services = {share.service for route in routes for share in route.shares}
    for index, service in enumerate(stated.services):
        if service.service not in used_services:
            yield Inconsistency(
                Severity.WARNING,
                EntryPosition(EntryKind.SERVICE, index),
                'name',
                f'no route gives flows to service {service.service}',
            )


def _check_slow_start(
    position: EntryPosition, limits: ServiceLimits
) -> Iterator[Inconsistency]:
    if limits.warmup_per_s and not limits.warmup_ms:
        yield Inconsistency(
            Severity.WARNING,
            position,
            'warmup_per_s',
            f'{limits.warmup_per_s:.15g} has no effect without a slow-start period',
        )
