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
    words: tuple[str, ...]


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


def load_plan(path: Path, changes: Mapping[str, str] | None = None) -> ScenarioPlan:
    """
    Read a scenario file.

    Parameters
    ----------
    path
        INI file.
    changes
        Values that replace those of the section ``scenario`` in the file.

    Raises
    ------
    ValueError
        If a key or section is unknown or a value is malformed.
    """
    return parse_plan(path.read_text(), str(path), changes)


def parse_plan(
    text: str, source: str, changes: Mapping[str, str] | None = None
) -> ScenarioPlan:
    """Parse the text of a scenario file; see ``load_plan``."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=('#',)
    )
    parser.read_string(text, source)
    sections = {name: dict(parser[name]) for name in parser.sections()}
    general = {**sections.pop('scenario', {}), **(changes or {})}
    scale = float(general.get('flow_scale', '1'))
    latency = sections.pop('latency', {})
    unknown = [name for name in sections if name.split()[0] not in _KINDS]
    if unknown:
        raise ValueError(f'{source}: unknown sections {unknown}')
    return ScenarioPlan(
        name=general.get('name', Path(source).stem),
        seed=int(general.get('seed', '1')),
        warm_up_s=float(general.get('warm_up_s', '4')),
        duration_s=float(general.get('duration_s', '20')),
        network=general.get('network', 'direct'),
        fabric_lag_ms=float(general.get('fabric_lag_ms', '500')),
        between_domains_ms=float(latency.get('between_domains_ms', '0')),
        to_callers_ms=float(latency.get('to_callers_ms', '0')),
        domains=tuple(
            _read_domain(name, values) for name, values in _of_kind(sections, 'domain')
        ),
        services=tuple(
            _read_fields(ServicePlan, name, values)
            for name, values in _of_kind(sections, 'service')
        ),
        plans=dict(_of_kind(sections, 'plan')),
        customers={
            name: values['plan'] for name, values in _of_kind(sections, 'customer')
        },
        loads=tuple(
            _read_load(name, values, scale)
            for name, values in _of_kind(sections, 'load')
        ),
        events=tuple(
            sorted(
                (_read_event(values) for _, values in _of_kind(sections, 'event')),
                key=lambda event: event.at_s,
            )
        ),
        settings=dict(_of_kind(sections, 'settings')),
    )


_KINDS = frozenset(
    ('domain', 'service', 'plan', 'customer', 'load', 'event', 'settings')
)


def _of_kind(sections: Mapping[str, Values], kind: str) -> Iterator[tuple[str, Values]]:
    for title, values in sections.items():
        first, _, name = title.partition(' ')
        if first == kind:
            yield name.strip(), values


def _read_domain(name: str, values: Values) -> DomainPlan:
    pairs = (part.split(':') for part in values.get('upstreams', '').split(',') if part)
    return DomainPlan(
        name=name,
        region=values['region'],
        instances=int(values['instances']),
        upstreams={service.strip(): int(count) for service, count in pairs},
    )


def _read_load(name: str, values: Values, scale: float) -> LoadPlan:
    values = dict(values)
    customers = tuple(part.strip() for part in values.pop('customers').split(','))
    flows = max(1, round(int(values.pop('flows')) * scale))
    return _read_fields(LoadPlan, name, values, customers=customers, flows=flows)


def _read_event(values: Values) -> Event:
    action, *words = values['action'].split()
    return Event(float(values['at_s']), action, tuple(words))


def _read_fields(
    kind: type[PlanT], name: str, values: Values, **given: object
) -> PlanT:
    types = {row.name: row.type for row in fields(kind)}
    unknown = sorted(set(values) - set(types))
    if unknown:
        raise ValueError(f'{kind.__name__} {name}: unknown keys {unknown}')
    read = {key: _CONVERTERS[types[key]](text) for key, text in values.items()}
    return kind(name=name, **read, **given)


def _read_flag(text: str) -> bool:
    return text.lower() in {'1', 'yes', 'true', 'on'}


_CONVERTERS = {int: int, float: float, str: str, bool: _read_flag}
