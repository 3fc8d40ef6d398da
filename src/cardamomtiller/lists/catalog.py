"""Lookup tables of the published documents, and checks across documents."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from cardamomtiller.finding import Finding, Findings, Place
from cardamomtiller.identity import (
    CustomerId,
    DomainName,
    InstanceId,
    OperatorState,
    PlanName,
    ServiceClass,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.document import (
    CustomerRow,
    InstanceRow,
    KeyRow,
    ObjectiveRow,
    PlanRow,
    Row,
    ServiceRow,
    UpstreamRow,
)


@dataclass(frozen=True, slots=True)
class Catalog:
    """Rows of the published documents by name, for one set of versions."""

    plans: Mapping[PlanName, PlanRow] = field(default_factory=dict)
    objectives: Mapping[tuple[ServiceName, ServiceClass], ObjectiveRow] = field(
        default_factory=dict,
    )
    customers: Mapping[CustomerId, CustomerRow] = field(default_factory=dict)
    keys: Mapping[int, KeyRow] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceRow] = field(default_factory=dict)
    upstreams: Mapping[UpstreamId, UpstreamRow] = field(default_factory=dict)
    instances: Mapping[InstanceId, InstanceRow] = field(default_factory=dict)
    pools: Mapping[ServiceName, tuple[UpstreamRow, ...]] = field(default_factory=dict)

    def find_plan(self, customer: CustomerId) -> PlanRow | None:
        """Return the plan of a customer, or None if either is not published."""
        row = self.customers.get(customer)
        return self.plans.get(row.plan) if row else None

    def instances_in(self, domain: DomainName) -> tuple[InstanceRow, ...]:
        """Return the published instances of a failure domain, sorted by name."""
        rows = (row for row in self.instances.values() if row.domain == domain)
        return tuple(sorted(rows, key=lambda row: row.name))

    def current_key(self) -> KeyRow | None:
        """Return the key that seals new cookies, or None if none is published."""
        return next((row for row in self.keys.values() if row.is_current), None)


def build_catalog(rows: Iterable[Row]) -> Catalog:
    """
    Build a catalog; of several rows with the same name, the first is used.

    ``check_catalog`` reports such a duplicate. It is not an error here, so that an
    instance can serve in spite of it.
    """
    plans: dict[PlanName, PlanRow] = {}
    objectives: dict[tuple[ServiceName, ServiceClass], ObjectiveRow] = {}
    customers: dict[CustomerId, CustomerRow] = {}
    keys: dict[int, KeyRow] = {}
    services: dict[ServiceName, ServiceRow] = {}
    upstreams: dict[UpstreamId, UpstreamRow] = {}
    instances: dict[InstanceId, InstanceRow] = {}
    for row in rows:
        match row:
            case PlanRow():
                plans.setdefault(row.name, row)
            case ObjectiveRow():
                objectives.setdefault((row.service, row.service_class), row)
            case CustomerRow():
                customers.setdefault(row.name, row)
            case KeyRow():
                keys.setdefault(row.key_id, row)
            case ServiceRow():
                services.setdefault(row.name, row)
            case UpstreamRow():
                upstreams.setdefault(row.name, row)
            case InstanceRow():
                instances.setdefault(row.name, row)
    return Catalog(
        plans=plans,
        objectives=objectives,
        customers=customers,
        keys=keys,
        services=services,
        upstreams=upstreams,
        instances=instances,
        pools=_build_pools(services, upstreams),
    )


def check_catalog(rows: Iterable[Row]) -> tuple[Finding, ...]:
    """Return findings on missing references and on duplicate names."""
    rows = tuple(rows)
    catalog = build_catalog(rows)
    findings = Findings()
    for place, message in _check_references(catalog):
        findings.add(place, message)
    for place, message in _check_duplicate_names(rows):
        findings.add(place, message)
    return findings.as_tuple()


def _build_pools(
    services: Mapping[ServiceName, ServiceRow],
    upstreams: Mapping[UpstreamId, UpstreamRow],
) -> dict[ServiceName, tuple[UpstreamRow, ...]]:
    pools: dict[ServiceName, list[UpstreamRow]] = {name: [] for name in services}
    for name in sorted(upstreams):
        row = upstreams[name]
        if row.service in pools:
            pools[row.service].append(row)
    return {name: tuple(pool) for name, pool in pools.items()}


def _check_references(catalog: Catalog) -> Iterator[tuple[Place, str]]:
    for customer in catalog.customers.values():
        if customer.plan not in catalog.plans:
            place = Place('customers', f'customer {customer.name}', 'plan')
            yield place, f'plan {customer.plan!r} does not exist'
    for upstream in catalog.upstreams.values():
        if upstream.service not in catalog.services:
            source = f'upstreams.{upstream.domain}'
            place = Place(source, f'upstream {upstream.name}', 'service')
            yield place, f'service {upstream.service!r} does not exist'
    for objective in catalog.objectives.values():
        if objective.service not in catalog.services:
            title = f'objective {objective.service} '
            title += objective.service_class.name.lower()
            yield Place('plans', title), f'service {objective.service!r} does not exist'
    for service in catalog.services.values():
        stream_customer = service.stream_customer
        if stream_customer and stream_customer not in catalog.customers:
            place = Place('services', f'service {service.name}', 'stream_customer')
            yield place, f'customer {stream_customer!r} does not exist'
        if all(
            row.state is OperatorState.LEAVING
            for row in catalog.pools.get(service.name, ())
        ):
            place = Place('services', f'service {service.name}')
            yield place, 'service has no joining or live upstream'


def _check_duplicate_names(rows: Iterable[Row]) -> Iterator[tuple[Place, str]]:
    domains: dict[tuple[str, str], DomainName] = {}
    for row in rows:
        match row:
            case UpstreamRow():
                kind = 'upstream'
            case InstanceRow():
                kind = 'instance'
            case _:
                continue
        first_domain = domains.setdefault((kind, row.name), row.domain)
        if first_domain != row.domain:
            place = Place(f'{kind}s.{row.domain}', f'{kind} {row.name}')
            yield place, f'name is also used in {kind}s.{first_domain}'
