"""Validation of a settings file and a folder of lists before deployment."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from returns.result import Failure, Success

from cardamomtiller.finding import Finding, Findings, Place
from cardamomtiller.identity import (
    DocumentName,
    Endpoint,
    InstanceId,
    OperatorState,
    ServiceName,
    Version,
)
from cardamomtiller.lists import ini
from cardamomtiller.lists.catalog import Catalog, build_catalog, check_catalog
from cardamomtiller.lists.document import (
    CUSTOMERS,
    INSTANCES_PREFIX,
    KEYS,
    PLANS,
    SERVICES,
    UPSTREAMS_PREFIX,
    Document,
    InstanceRow,
    Row,
    UpstreamRow,
    parse_document,
)
from cardamomtiller.lists.settings import load_settings
from cardamomtiller.settings_pb2 import Settings

LIST_SUFFIX = '.ini'
REQUIRED_LISTS = (PLANS, CUSTOMERS, KEYS, SERVICES)
# The loss of one keepalive must not end a flow or outdate its cookie.
MIN_KEEPALIVES_PER_LIFETIME = 2

_PlacedMessage = tuple[Place, str]


@dataclass(frozen=True, slots=True)
class ListFolder:
    """Lists read from a folder, and the findings made while reading them."""

    folder: Path
    rows: tuple[Row, ...]
    catalog: Catalog
    findings: tuple[Finding, ...]


def read_lists(folder: Path) -> ListFolder:
    """
    Parse each list ``NAME.ini`` of a folder.

    Returns
    -------
    ListFolder
        Rows of the valid lists, and findings of all lists; the source of a
        finding is the path of the file.
    """
    findings = Findings()
    rows: list[Row] = []
    paths = sorted(folder.glob(f'*{LIST_SUFFIX}')) if folder.is_dir() else []
    for name in REQUIRED_LISTS:
        path = _list_path(folder, name)
        if path not in paths:
            findings.add(Place(str(path)), 'missing')
    for path in paths:
        parsed = _read_list(path)
        if isinstance(parsed, Failure):
            findings.items.extend(_replace_sources_by_paths(folder, parsed.failure()))
        else:
            rows.extend(parsed.unwrap())
    return ListFolder(folder, tuple(rows), build_catalog(rows), findings.as_tuple())


def check_lists(lists: ListFolder) -> tuple[Finding, ...]:
    """Return the findings of each list; if there are none, those across lists."""
    if lists.findings:
        # The rows of a list with findings are missing from the catalog, so each
        # reference to them would be reported as well.
        return lists.findings
    findings = list(check_catalog(lists.rows))
    for check in (
        _check_service_addresses,
        _check_addresses,
        _check_regions,
        _check_secrets,
    ):
        messages = check(lists.catalog)
        findings.extend(Finding(place, message) for place, message in messages)
    return tuple(dict.fromkeys(_replace_sources_by_paths(lists.folder, findings)))


def check_settings(settings: Settings, source: str) -> tuple[Finding, ...]:
    """Return findings on flow timeouts that are too short for the keepalives."""
    min_limit_ms = MIN_KEEPALIVES_PER_LIFETIME * settings.flow.keepalive_ms
    limits_ms = {
        'flow_idle_ms': settings.flow.flow_idle_ms,
        'cookie_lifetime_ms': settings.flow.cookie_lifetime_ms,
    }
    return tuple(
        Finding(
            Place(source, 'flow', key),
            f'{limit_ms:g} is less than twice keepalive_ms',
        )
        for key, limit_ms in limits_ms.items()
        if limit_ms < min_limit_ms
    )


def check_files(
    settings_path: Path | None, lists_folder: Path | None
) -> tuple[Finding, ...]:
    """
    Validate a settings file, a folder of lists, or both against each other.

    Returns
    -------
    tuple
        All findings, with file, section and key.
    """
    findings: list[Finding] = []
    valid_settings: Settings | None = None
    if settings_path is not None:
        loaded = load_settings(settings_path)
        if isinstance(loaded, Success):
            valid_settings = loaded.unwrap()
            findings.extend(check_settings(valid_settings, str(settings_path)))
        else:
            findings.extend(loaded.failure())
    if lists_folder is not None:
        lists = read_lists(lists_folder)
        findings.extend(check_lists(lists))
        if valid_settings is not None:
            contradictions = _check_settings_against_lists(
                valid_settings, str(settings_path), lists
            )
            findings.extend(
                Finding(place, message) for place, message in contradictions
            )
    return tuple(findings)


def _list_path(folder: Path, name: str) -> Path:
    return folder / f'{name}{LIST_SUFFIX}'


def _read_list(
    path: Path,
) -> Success[tuple[Row, ...]] | Failure[tuple[Finding, ...]]:
    name = DocumentName(path.name.removesuffix(LIST_SUFFIX))
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(Place(name), f'cannot be read: {error}'),))
    parsed = parse_document(Document(name, Version(0), text))
    if isinstance(parsed, Failure):
        return Failure(parsed.failure())
    return Success(parsed.unwrap())


def _replace_sources_by_paths(
    folder: Path, findings: Sequence[Finding]
) -> Iterator[Finding]:
    for finding in findings:
        source = str(_list_path(folder, finding.place.source))
        yield replace(finding, place=replace(finding.place, source=source))


def _check_service_addresses(catalog: Catalog) -> Iterator[_PlacedMessage]:
    for service in catalog.services.values():
        title = f'service {service.name}'
        if not service.datagram_addresses and not service.stream_addresses:
            yield Place(SERVICES, title), 'service has no address'
        if not service.stream_addresses:
            continue
        if service.stream_customer is None:
            place = Place(SERVICES, title, 'stream_customer')
            yield place, 'missing; plain TCP connections would be refused'
        for row in catalog.pools[service.name]:
            is_needed = row.state is not OperatorState.LEAVING
            if is_needed and row.stream_address is None:
                place = _key_place(row, 'stream_address')
                yield place, f'missing; service {service.name} has stream addresses'


def _check_addresses(catalog: Catalog) -> Iterator[_PlacedMessage]:
    owners: dict[Endpoint, str] = {}
    for address, row, key in _iterate_addresses(catalog):
        first_owner = owners.setdefault(address, row.name)
        if first_owner != row.name:
            yield (
                _key_place(row, key),
                f'address {address} also belongs to {first_owner}',
            )


def _iterate_addresses(
    catalog: Catalog,
) -> Iterator[tuple[Endpoint, InstanceRow | UpstreamRow, str]]:
    for instance in catalog.instances.values():
        yield instance.peer_address, instance, 'peer_address'
    for upstream in catalog.upstreams.values():
        yield upstream.address, upstream, 'address'
        if upstream.stream_address is not None:
            yield upstream.stream_address, upstream, 'stream_address'


def _check_regions(catalog: Catalog) -> Iterator[_PlacedMessage]:
    regions = {row.domain: row.region for row in catalog.instances.values()}
    for row in catalog.upstreams.values():
        region = regions.get(row.domain)
        if region is None:
            place = Place(f'{UPSTREAMS_PREFIX}{row.domain}', f'upstream {row.name}')
            yield place, f'failure domain {row.domain!r} has no instance'
        elif region != row.region:
            place = Place(f'{UPSTREAMS_PREFIX}{row.domain}', 'domain', 'region')
            message = f'{row.region!r}, but {INSTANCES_PREFIX}{row.domain} has'
            yield place, f'{message} {region!r}'


def _check_secrets(catalog: Catalog) -> Iterator[_PlacedMessage]:
    owners: dict[bytes, str] = {}
    for customer in catalog.customers.values():
        for secret in customer.secrets:
            first_owner = owners.setdefault(secret, customer.name)
            if first_owner != customer.name:
                place = Place(CUSTOMERS, f'customer {customer.name}', 'secret')
                yield place, f'secret is also used by customer {first_owner}'


def _key_place(row: InstanceRow | UpstreamRow, key: str) -> Place:
    if isinstance(row, InstanceRow):
        return Place(f'{INSTANCES_PREFIX}{row.domain}', f'instance {row.name}', key)
    return Place(f'{UPSTREAMS_PREFIX}{row.domain}', f'upstream {row.name}', key)


def _check_settings_against_lists(
    settings: Settings, source: str, lists: ListFolder
) -> Iterator[_PlacedMessage]:
    own_settings = settings.instance
    catalog = lists.catalog
    row = catalog.instances.get(InstanceId(own_settings.name))
    if row is None:
        place = Place(source, 'instance', 'name')
        yield place, f'{own_settings.name!r} is not in the published lists of instances'
    else:
        yield from _compare_with_published(settings, source, row)
    for key in ('datagram_addresses', 'stream_addresses'):
        text = getattr(settings.entrance, key)
        for name, _address in ini.parse_named_endpoints(text):
            if ServiceName(name) not in catalog.services:
                place = Place(source, 'entrance', key)
                yield place, f'service {name!r} does not exist'


def _compare_with_published(
    settings: Settings,
    source: str,
    row: InstanceRow,
) -> Iterator[_PlacedMessage]:
    own_settings = settings.instance
    compared_values = (
        ('failure_domain', own_settings.failure_domain, row.domain),
        ('region', own_settings.region, row.region),
        ('peer_address', own_settings.peer_address, str(row.peer_address)),
    )
    for key, value, published in compared_values:
        if value != published:
            message = f'{value!r}, but the published list has {published!r}'
            yield Place(source, 'instance', key), message
