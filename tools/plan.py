"""Parser of scenario files, INI files with a deployment, its load and events."""

import configparser
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import TypeVar

Values = Mapping[str, str]
PlanT = TypeVar('PlanT')


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """A failure domain, with its numbers of instances and of upstreams by service."""

    name: str
    region: str
    instances: int
    upstreams: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service and the behaviour of its upstreams."""

    name: str
    slots: int = 2
    push_interval_ms: float = 0
    cold_ms: float = 0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """A group of callers that send the same kind of requests."""

    name: str
    service: str
    customers: tuple[str, ...]
    flows: int
    request_interval_ms: float = 0
    service_class: str = 'normal'
    op: str = 'echo'
    work_ms: float = 2
    payload_bytes: int = 100
    answer_bytes: int = 0
    timeout_ms: float = 3000
    is_idempotent: bool = False
    open_over_s: float = 1
    flow_life_s: float = 0
    start_s: float = 0
    stop_s: float = 0
    has_pushes: bool = False


@dataclass(frozen=True, slots=True)
class Event:
    """An action that starts ``at_s`` after the end of the warm-up."""

    at_s: float
    action: str
    arguments: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ScenarioPlan:
    """Contents of a scenario file."""

    name: str
    seed: int
    warm_up_s: float
    duration_s: float
    network: str
    fabric_lag_ms: float
    between_domains_ms: float
    to_callers_ms: float
    domains: tuple[DomainPlan, ...]
    services: tuple[ServicePlan, ...]
    plans: Mapping[str, Values]
    customers: Mapping[str, str]
    loads: tuple[LoadPlan, ...]
    events: tuple[Event, ...]
    settings: Mapping[str, Values] = field(default_factory=dict)


def load_plan(path: Path, overrides: Mapping[str, str] | None = None) -> ScenarioPlan:
    """
    Read a scenario file.

    Parameters
    ----------
    path
        INI file.
    overrides
        Values that replace those of the section ``scenario`` in the file.

    Raises
    ------
    ValueError
        If a key or section is unknown or a value is malformed.
    """
    return parse_plan(path.read_text(), str(path), overrides)


def parse_plan(
    text: str, source: str, overrides: Mapping[str, str] | None = None
) -> ScenarioPlan:
    """Parse the text of a scenario file; see ``load_plan``."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=('#',)
    )
    parser.read_string(text, source)
    sections = {name: dict(parser[name]) for name in parser.sections()}
    scenario = {**sections.pop('scenario', {}), **(overrides or {})}
    scale = float(scenario.get('flow_scale', '1'))
    latency = sections.pop('latency', {})
    unknown_sections = [
        name for name in sections if name.split()[0] not in _SECTION_KINDS
    ]
    if unknown_sections:
        raise ValueError(f'{source}: unknown sections {unknown_sections}')
    return ScenarioPlan(
        name=scenario.get('name', Path(source).stem),
        seed=int(scenario.get('seed', '1')),
        warm_up_s=float(scenario.get('warm_up_s', '4')),
        duration_s=float(scenario.get('duration_s', '20')),
        network=scenario.get('network', 'direct'),
        fabric_lag_ms=float(scenario.get('fabric_lag_ms', '500')),
        between_domains_ms=float(latency.get('between_domains_ms', '0')),
        to_callers_ms=float(latency.get('to_callers_ms', '0')),
        domains=tuple(
            _read_domain(name, values)
            for name, values in _iterate_sections(sections, 'domain')
        ),
        services=tuple(
            _read_fields(ServicePlan, name, values)
            for name, values in _iterate_sections(sections, 'service')
        ),
        plans=dict(_iterate_sections(sections, 'plan')),
        customers={
            name: values['plan']
            for name, values in _iterate_sections(sections, 'customer')
        },
        loads=tuple(
            _read_load(name, values, scale)
            for name, values in _iterate_sections(sections, 'load')
        ),
        events=tuple(
            sorted(
                (
                    _read_event(values)
                    for _, values in _iterate_sections(sections, 'event')
                ),
                key=lambda event: event.at_s,
            )
        ),
        settings=dict(_iterate_sections(sections, 'settings')),
    )


_SECTION_KINDS = frozenset(
    ('domain', 'service', 'plan', 'customer', 'load', 'event', 'settings')
)


def _iterate_sections(
    sections: Mapping[str, Values], kind: str
) -> Iterator[tuple[str, Values]]:
    for title, values in sections.items():
        section_kind, _, name = title.partition(' ')
        if section_kind == kind:
            yield name.strip(), values


def _read_domain(name: str, values: Values) -> DomainPlan:
    upstream_counts = (
        part.split(':') for part in values.get('upstreams', '').split(',') if part
    )
    return DomainPlan(
        name=name,
        region=values['region'],
        instances=int(values['instances']),
        upstreams={service.strip(): int(count) for service, count in upstream_counts},
    )


def _read_load(name: str, values: Values, scale: float) -> LoadPlan:
    values = dict(values)
    customers = tuple(part.strip() for part in values.pop('customers').split(','))
    flows = max(1, round(int(values.pop('flows')) * scale))
    return _read_fields(LoadPlan, name, values, customers=customers, flows=flows)


def _read_event(values: Values) -> Event:
    action, *arguments = values['action'].split()
    return Event(float(values['at_s']), action, tuple(arguments))


def _read_fields(
    plan_type: type[PlanT], name: str, values: Values, **parsed: object
) -> PlanT:
    types = {plan_field.name: plan_field.type for plan_field in fields(plan_type)}
    unknown_keys = sorted(set(values) - set(types))
    if unknown_keys:
        raise ValueError(f'{plan_type.__name__} {name}: unknown keys {unknown_keys}')
    converted = {key: _CONVERTERS[types[key]](text) for key, text in values.items()}
    return plan_type(name=name, **converted, **parsed)


def _parse_bool(text: str) -> bool:
    return text.lower() in {'1', 'yes', 'true', 'on'}


_CONVERTERS = {int: int, float: float, str: str, bool: _parse_bool}
