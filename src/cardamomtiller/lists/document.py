"""Published documents: INI text checked as a whole and turned into rows."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from google.protobuf.message import Message
from returns.result import Failure, Result, Success

from cardamomtiller.document_pb2 import (
    CustomerSection,
    DomainSection,
    InstanceSection,
    KeySection,
    ObjectiveSection,
    PlanSection,
    ServiceSection,
    UpstreamSection,
)
from cardamomtiller.finding import Finding, Findings, Place
from cardamomtiller.identity import (
    CustomerId,
    DocumentName,
    DomainName,
    Endpoint,
    InstanceId,
    OperatorState,
    PlanName,
    RegionName,
    ServiceClass,
    ServiceName,
    UpstreamId,
    Version,
    parse_endpoint,
)
from cardamomtiller.lists import ini

SectionT = TypeVar('SectionT', bound=Message)

LARGEST_DOCUMENT_BYTES = 1_000_000
LARGEST_NAME_LENGTH = 64
LARGEST_KEY_ID = 255

PLANS = DocumentName('plans')
CUSTOMERS = DocumentName('customers')
KEYS = DocumentName('keys')
SERVICES = DocumentName('services')
UPSTREAMS_PREFIX = 'upstreams.'
INSTANCES_PREFIX = 'instances.'


@dataclass(frozen=True, slots=True)
class Document:
    """Text of a published document at one version."""

    name: DocumentName
    version: Version
    text: str


@dataclass(frozen=True, slots=True)
class PlanRow:
    """What a plan allows over all instances together."""

    name: PlanName
    rate_per_s: float
    concurrent_requests: int
    open_flows: int
    bytes_in_flight: float
    weight: float


@dataclass(frozen=True, slots=True)
class ObjectiveRow:
    """Service-level objective of one class of a service."""

    service: ServiceName
    service_class: ServiceClass
    latency_ms: float
    target: float


@dataclass(frozen=True, slots=True)
class CustomerRow:
    """A customer, its plan and its secrets, the current one first."""

    name: CustomerId
    plan: PlanName
    secrets: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class KeyRow:
    """A sealing key."""

    key_id: int
    secret: bytes
    is_current: bool


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """A service and its published addresses."""

    name: ServiceName
    datagram_addresses: tuple[Endpoint, ...]
    stream_addresses: tuple[Endpoint, ...]
    stream_customer: CustomerId | None


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """An upstream of one service."""

    name: UpstreamId
    service: ServiceName
    domain: DomainName
    region: RegionName
    address: Endpoint
    stream_address: Endpoint | None
    slots: int
    state: OperatorState


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """An instance of the system."""

    name: InstanceId
    domain: DomainName
    region: RegionName
    peer_address: Endpoint
    state: OperatorState


Row = (
    PlanRow
    | ObjectiveRow
    | CustomerRow
    | KeyRow
    | ServiceRow
    | UpstreamRow
    | InstanceRow
)


def parse_document(document: Document) -> Result[tuple[Row, ...], tuple[Finding, ...]]:
    """
    Check a document as a whole and return its rows.

    Parameters
    ----------
    document
        INI text, at most ``LARGEST_DOCUMENT_BYTES`` bytes long.

    Returns
    -------
    Result
        Rows in the order of the text, or every finding.
    """
    findings = Findings()
    rows = tuple(_parse_rows(document, findings))
    if len(findings):
        return Failure(findings.as_tuple())
    return Success(rows)


def _parse_rows(document: Document, findings: Findings) -> Iterator[Row]:
    if len(document.text.encode()) > LARGEST_DOCUMENT_BYTES:
        message = f'longer than {LARGEST_DOCUMENT_BYTES} bytes'
        findings.add(Place(document.name), message)
        return
    parse = _parser_of(document.name)
    if parse is None:
        findings.add(Place(document.name), 'unknown document name')
        return
    sections = ini.parse_ini(document.text, document.name, findings)
    yield from parse(document.name, sections, findings)


_Sections = Mapping[str, Mapping[str, str]]
_Parser = Callable[[DocumentName, _Sections, Findings], Iterator[Row]]


def _parser_of(name: DocumentName) -> _Parser | None:
    if name.startswith(UPSTREAMS_PREFIX):
        return _parse_upstreams
    if name.startswith(INSTANCES_PREFIX):
        return _parse_instances
    return _PARSERS.get(name)


def _named_sections(
    source: str,
    sections: _Sections,
    findings: Findings,
    kinds: frozenset[str],
) -> Iterator[tuple[str, tuple[str, ...], Place, Mapping[str, str]]]:
    for title, values in sections.items():
        place = Place(source, title)
        kind, *words = title.split()
        if kind not in kinds or not words:
            expected = ' or '.join(f'[{name} NAME]' for name in sorted(kinds))
            findings.add(place, f'unknown section, expected {expected}')
            continue
        if any(len(word) > LARGEST_NAME_LENGTH for word in words):
            findings.add(place, f'name longer than {LARGEST_NAME_LENGTH} characters')
            continue
        yield kind, tuple(words), place, values


def _single(
    words: tuple[str, ...],
    place: Place,
    findings: Findings,
) -> str:
    if len(words) != 1:
        findings.add(place, 'a name has no spaces')
    return words[0]


def _parse_plans(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('plan', 'objective'))
    for kind, words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        if kind == 'plan':
            plan = ini.read_section(values, PlanSection(), place, findings)
            yield PlanRow(
                name=PlanName(_single(words, place, findings)),
                rate_per_s=plan.rate_per_s,
                concurrent_requests=plan.concurrent_requests,
                open_flows=plan.open_flows,
                bytes_in_flight=plan.bytes_in_flight,
                weight=plan.weight,
            )
        else:
            yield from _parse_objective(words, place, values, findings)


def _parse_objective(
    words: tuple[str, ...],
    place: Place,
    values: Mapping[str, str],
    findings: Findings,
) -> Iterator[Row]:
    names = {member.name.lower(): member for member in ServiceClass}
    if len(words) != 2 or words[1] not in names:
        classes = ', '.join(sorted(names))
        findings.add(place, f'expected [objective SERVICE CLASS], CLASS of {classes}')
        return
    section = ini.read_section(values, ObjectiveSection(), place, findings)
    yield ObjectiveRow(
        service=ServiceName(words[0]),
        service_class=names[words[1]],
        latency_ms=section.latency_ms,
        target=section.target,
    )


def _parse_customers(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('customer',))
    for _kind, words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, CustomerSection(), place, findings)
        texts = (section.secret, section.previous_secret)
        yield CustomerRow(
            name=CustomerId(_single(words, place, findings)),
            plan=PlanName(section.plan),
            secrets=tuple(bytes.fromhex(text) for text in texts if text),
        )


def _parse_keys(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    current: list[int] = []
    kinds = frozenset(('key',))
    for _kind, words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, KeySection(), place, findings)
        text = _single(words, place, findings)
        if not text.isdecimal() or int(text) > LARGEST_KEY_ID:
            findings.add(place, f'key id is not between 0 and {LARGEST_KEY_ID}')
            continue
        is_current = section.state == 'current'
        if is_current:
            current.append(int(text))
        yield KeyRow(int(text), bytes.fromhex(section.secret), is_current)
    if len(current) != 1:
        findings.add(
            Place(source), f'exactly one key must be current, not {len(current)}'
        )


def _parse_services(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('service',))
    owners: dict[tuple[str, Endpoint], str] = {}
    for _kind, words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, ServiceSection(), place, findings)
        customer = section.stream_customer
        row = ServiceRow(
            name=ServiceName(_single(words, place, findings)),
            datagram_addresses=ini.parse_endpoints(section.datagram_addresses),
            stream_addresses=ini.parse_endpoints(section.stream_addresses),
            stream_customer=CustomerId(customer) if customer else None,
        )
        _check_addresses(row, owners, place, findings)
        yield row


def _check_addresses(
    row: ServiceRow,
    owners: dict[tuple[str, Endpoint], str],
    place: Place,
    findings: Findings,
) -> None:
    pairs = [('UDP', address) for address in row.datagram_addresses]
    pairs += [('TCP', address) for address in row.stream_addresses]
    for protocol, address in pairs:
        other = owners.setdefault((protocol, address), row.name)
        if other != row.name:
            message = f'{protocol} address {address} also belongs to {other}'
            findings.add(place, message)


def _split_domain(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> tuple[DomainName, RegionName, _Sections]:
    domain = DomainName(source.partition('.')[2])
    values = sections.get('domain', {})
    place = Place(source, 'domain')
    section = ini.read_section(values, DomainSection(), place, findings)
    others = {title: rows for title, rows in sections.items() if title != 'domain'}
    return domain, RegionName(section.region), others


def _parse_upstreams(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    domain, region, others = _split_domain(source, sections, findings)
    kinds = frozenset(('upstream',))
    for _kind, words, place, values in _named_sections(source, others, findings, kinds):
        section = ini.read_section(values, UpstreamSection(), place, findings)
        if not section.address:
            continue
        stream = section.stream_address
        yield UpstreamRow(
            name=UpstreamId(_single(words, place, findings)),
            service=ServiceName(section.service),
            domain=domain,
            region=region,
            address=parse_endpoint(section.address),
            stream_address=parse_endpoint(stream) if stream else None,
            slots=section.slots,
            state=OperatorState(section.state),
        )


def _parse_instances(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    domain, region, others = _split_domain(source, sections, findings)
    kinds = frozenset(('instance',))
    for _kind, words, place, values in _named_sections(source, others, findings, kinds):
        section = ini.read_section(values, InstanceSection(), place, findings)
        if not section.peer_address:
            continue
        yield InstanceRow(
            name=InstanceId(_single(words, place, findings)),
            domain=domain,
            region=region,
            peer_address=parse_endpoint(section.peer_address),
            state=OperatorState(section.state),
        )


_PARSERS: Mapping[str, _Parser] = {
    PLANS: _parse_plans,
    CUSTOMERS: _parse_customers,
    KEYS: _parse_keys,
    SERVICES: _parse_services,
}
