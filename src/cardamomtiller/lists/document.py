"""Published documents: INI text that is validated and converted to rows."""

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

MAX_DOCUMENT_BYTES = 1_000_000
MAX_NAME_LENGTH = 64
MAX_KEY_ID = 255

PLANS = DocumentName('plans')
CUSTOMERS = DocumentName('customers')
KEYS = DocumentName('keys')
SERVICES = DocumentName('services')
UPSTREAMS_PREFIX = 'upstreams.'
INSTANCES_PREFIX = 'instances.'


@dataclass(frozen=True, slots=True)
class Document:
    """INI text of one version of a published document."""

    name: DocumentName
    version: Version
    text: str


@dataclass(frozen=True, slots=True)
class PlanRow:
    """Limits of a plan, shared by all instances, and its fair-queueing weight."""

    name: PlanName
    rate_per_s: float
    concurrent_requests: int
    open_flows: int
    bytes_in_flight: float
    weight: float


@dataclass(frozen=True, slots=True)
class ObjectiveRow:
    """Service-level objective of one service class of a service."""

    service: ServiceName
    service_class: ServiceClass
    latency_ms: float
    target: float


@dataclass(frozen=True, slots=True)
class CustomerRow:
    """Customer with its plan and secrets; the current secret comes first."""

    name: CustomerId
    plan: PlanName
    secrets: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class KeyRow:
    """Sealing key of cookies; only the current key seals new ones."""

    key_id: int
    secret: bytes
    is_current: bool


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """Service with its published addresses and the customer of plain TCP."""

    name: ServiceName
    datagram_addresses: tuple[Endpoint, ...]
    stream_addresses: tuple[Endpoint, ...]
    stream_customer: CustomerId | None


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """Upstream of one service, with its addresses and its number of slots."""

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
    """Published instance; the other instances send to its ``peer_address``."""

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
    Validate a document and convert it to rows.

    Parameters
    ----------
    document
        INI text, at most ``MAX_DOCUMENT_BYTES`` bytes long.

    Returns
    -------
    Result
        Rows in the order of the text, or all findings.
    """
    findings = Findings()
    rows = tuple(_parse_rows(document, findings))
    if len(findings):
        return Failure(findings.as_tuple())
    return Success(rows)


def _parse_rows(document: Document, findings: Findings) -> Iterator[Row]:
    if len(document.text.encode()) > MAX_DOCUMENT_BYTES:
        message = f'document is longer than {MAX_DOCUMENT_BYTES} bytes'
        findings.add(Place(document.name), message)
        return
    parse = _find_parser(document.name)
    if parse is None:
        findings.add(Place(document.name), 'unknown document name')
        return
    sections = ini.parse_ini(document.text, document.name, findings)
    yield from parse(document.name, sections, findings)


_Sections = Mapping[str, Mapping[str, str]]
_Parser = Callable[[DocumentName, _Sections, Findings], Iterator[Row]]


def _find_parser(name: DocumentName) -> _Parser | None:
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
        kind, *name_words = title.split()
        if kind not in kinds or not name_words:
            expected = ' or '.join(f'[{name} NAME]' for name in sorted(kinds))
            findings.add(place, f'unknown section, expected {expected}')
            continue
        if any(len(word) > MAX_NAME_LENGTH for word in name_words):
            findings.add(place, f'name longer than {MAX_NAME_LENGTH} characters')
            continue
        yield kind, tuple(name_words), place, values


def _read_single_name(
    name_words: tuple[str, ...],
    place: Place,
    findings: Findings,
) -> str:
    if len(name_words) != 1:
        findings.add(place, 'name must not contain spaces')
    return name_words[0]


def _parse_plans(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('plan', 'objective'))
    for kind, name_words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        if kind == 'plan':
            plan = ini.read_section(values, PlanSection(), place, findings)
            yield PlanRow(
                name=PlanName(_read_single_name(name_words, place, findings)),
                rate_per_s=plan.rate_per_s,
                concurrent_requests=plan.concurrent_requests,
                open_flows=plan.open_flows,
                bytes_in_flight=plan.bytes_in_flight,
                weight=plan.weight,
            )
        else:
            yield from _parse_objective(name_words, place, values, findings)


def _parse_objective(
    name_words: tuple[str, ...],
    place: Place,
    values: Mapping[str, str],
    findings: Findings,
) -> Iterator[Row]:
    classes_by_name = {member.name.lower(): member for member in ServiceClass}
    if len(name_words) != 2 or name_words[1] not in classes_by_name:
        class_names = ', '.join(sorted(classes_by_name))
        findings.add(
            place, f'expected [objective SERVICE CLASS] with a CLASS of {class_names}'
        )
        return
    section = ini.read_section(values, ObjectiveSection(), place, findings)
    yield ObjectiveRow(
        service=ServiceName(name_words[0]),
        service_class=classes_by_name[name_words[1]],
        latency_ms=section.latency_ms,
        target=section.target,
    )


def _parse_customers(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('customer',))
    for _kind, name_words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, CustomerSection(), place, findings)
        hex_secrets = (section.secret, section.previous_secret)
        yield CustomerRow(
            name=CustomerId(_read_single_name(name_words, place, findings)),
            plan=PlanName(section.plan),
            secrets=tuple(bytes.fromhex(text) for text in hex_secrets if text),
        )


def _parse_keys(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    current_ids: list[int] = []
    kinds = frozenset(('key',))
    for _kind, name_words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, KeySection(), place, findings)
        id_text = _read_single_name(name_words, place, findings)
        if not id_text.isdecimal() or int(id_text) > MAX_KEY_ID:
            findings.add(place, f'key id is not between 0 and {MAX_KEY_ID}')
            continue
        is_current = section.state == 'current'
        if is_current:
            current_ids.append(int(id_text))
        yield KeyRow(int(id_text), bytes.fromhex(section.secret), is_current)
    if len(current_ids) != 1:
        findings.add(
            Place(source), f'exactly one key must be current, not {len(current_ids)}'
        )


def _parse_services(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    kinds = frozenset(('service',))
    owners: dict[tuple[str, Endpoint], str] = {}
    for _kind, name_words, place, values in _named_sections(
        source, sections, findings, kinds
    ):
        section = ini.read_section(values, ServiceSection(), place, findings)
        customer = section.stream_customer
        row = ServiceRow(
            name=ServiceName(_read_single_name(name_words, place, findings)),
            datagram_addresses=ini.parse_endpoints(section.datagram_addresses),
            stream_addresses=ini.parse_endpoints(section.stream_addresses),
            stream_customer=CustomerId(customer) if customer else None,
        )
        _check_shared_addresses(row, owners, place, findings)
        yield row


def _check_shared_addresses(
    row: ServiceRow,
    owners: dict[tuple[str, Endpoint], str],
    place: Place,
    findings: Findings,
) -> None:
    protocol_addresses = [('UDP', address) for address in row.datagram_addresses]
    protocol_addresses += [('TCP', address) for address in row.stream_addresses]
    for protocol, address in protocol_addresses:
        first_owner = owners.setdefault((protocol, address), row.name)
        if first_owner != row.name:
            message = f'{protocol} address {address} also belongs to {first_owner}'
            findings.add(place, message)


def _read_domain_section(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> tuple[DomainName, RegionName, _Sections]:
    domain = DomainName(source.partition('.')[2])
    values = sections.get('domain', {})
    place = Place(source, 'domain')
    section = ini.read_section(values, DomainSection(), place, findings)
    other_sections = {
        title: section_values
        for title, section_values in sections.items()
        if title != 'domain'
    }
    return domain, RegionName(section.region), other_sections


def _parse_upstreams(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    domain, region, other_sections = _read_domain_section(source, sections, findings)
    kinds = frozenset(('upstream',))
    for _kind, name_words, place, values in _named_sections(
        source, other_sections, findings, kinds
    ):
        section = ini.read_section(values, UpstreamSection(), place, findings)
        if not section.address:
            continue
        stream_address = section.stream_address
        yield UpstreamRow(
            name=UpstreamId(_read_single_name(name_words, place, findings)),
            service=ServiceName(section.service),
            domain=domain,
            region=region,
            address=parse_endpoint(section.address),
            stream_address=parse_endpoint(stream_address) if stream_address else None,
            slots=section.slots,
            state=OperatorState(section.state),
        )


def _parse_instances(
    source: DocumentName,
    sections: _Sections,
    findings: Findings,
) -> Iterator[Row]:
    domain, region, other_sections = _read_domain_section(source, sections, findings)
    kinds = frozenset(('instance',))
    for _kind, name_words, place, values in _named_sections(
        source, other_sections, findings, kinds
    ):
        section = ini.read_section(values, InstanceSection(), place, findings)
        if not section.peer_address:
            continue
        yield InstanceRow(
            name=InstanceId(_read_single_name(name_words, place, findings)),
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
