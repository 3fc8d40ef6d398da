"""Instance process: object wiring, start, view updates, graceful stop."""

import asyncio
import os
import random
import signal
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict

from loguru import logger

from cardamomtiller.accounts.admission import Admission, Permit
from cardamomtiller.accounts.allowance import ZERO_ALLOWANCE
from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.counter import Counters, StatsdSender
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.dataplane import DataPlane
from cardamomtiller.entrance.relay import Relay, RelayOptions
from cardamomtiller.entrance.routing import RoutingView
from cardamomtiller.entrance.streamchoice import FewestConnections, StreamLimit
from cardamomtiller.identity import (
    MS_PER_S,
    CustomerId,
    DocumentName,
    DomainName,
    Endpoint,
    InstanceId,
    OperatorState,
    RegionName,
    ServiceName,
    Version,
    parse_endpoint,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists import ini
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import InstanceRow, UpstreamRow
from cardamomtiller.lists.snapshot import SnapshotStore
from cardamomtiller.log import LogFormat, set_up_log
from cardamomtiller.membership import membershipoptions
from cardamomtiller.membership.assignment import OwnerTable
from cardamomtiller.membership.membership import Membership
from cardamomtiller.membership.rumor import make_incarnation
from cardamomtiller.operations.status import Json, StatusProvider, StatusServer
from cardamomtiller.peering import reader
from cardamomtiller.peering.exchange import LeasePart, LoadPart
from cardamomtiller.peering.exchangeparts import ControlHandler
from cardamomtiller.peering.peer import Peer, PeerOptions
from cardamomtiller.peering.reader import (
    ConfigurationReader,
    DocumentIntake,
    choose_role,
)
from cardamomtiller.peering.source import open_source
from cardamomtiller.serving.home import HomeIdentity, ServingContext
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.serving.serving import ServedUpstream
from cardamomtiller.settings_pb2 import Settings

CONTROL_TICK_MS = 25
# Minimum length of a graceful stop in keepalive intervals. The move of the flows
# reaches all callers and peers within two keepalives and one round of gossip.
MIN_STOP_KEEPALIVES = 3
EXIT_OK = 0
EXIT_CANNOT_START = 1
THREADS = 2
SIGNAL_POLL_S = 0.2


class FlowLimit(StreamLimit):
    """Count plain TCP connections against the open-flow limit of a client account."""

    def __init__(self, admission: Admission) -> None:
        """Create the limit without open connections."""
        self._admission = admission
        self._permits: dict[CustomerId, list[Permit]] = {}

    def admit(self, customer: CustomerId, now_ms: float) -> bool:
        """Return whether the allowance admits a connection, and count it if so."""
        permit = self._admission.admit_flow(customer, now_ms).value_or(None)
        if permit is None:
            return False
        self._permits.setdefault(customer, []).append(permit)
        return True

    def release(self, customer: CustomerId, now_ms: float) -> None:
        """Release the permit of an admitted connection that was closed."""
        self._admission.release(self._permits[customer].pop(), now_ms)


class Instance(StatusProvider):
    """Load balancer instance: owns all components of the process and their tasks."""

    def __init__(self, settings: Settings, now_ms: float, unix_ms: float) -> None:
        """Create and connect the components; ``run`` binds the sockets."""
        self.settings = settings
        self.metrics = Counters()
        self.row = _read_own_row(settings)
        entropy = int.from_bytes(os.urandom(8), 'big')
        incarnation = make_incarnation(unix_ms, entropy)
        self.membership = Membership(
            self.row,
            membershipoptions.read_options(settings.membership),
            incarnation,
            now_ms,
            self.metrics,
        )
        self.lease = LeaseAgent(self.row.name, incarnation, settings.lease, now_ms)
        self.admission = Admission(self.lease, settings.lease.burst_ms)
        self.store = SnapshotStore()
        self._identity = HomeIdentity(self.row.name, incarnation)
        self._intake = DocumentIntake(
            self.store, self.metrics, self._apply_configuration
        )
        self._sealer = CookieSealer()
        self._owners = OwnerTable()
        self._owners_catalog: Catalog | None = None
        self._upstreams: tuple[UpstreamRow, ...] = ()
        self._keys = tuple(_read_cluster_keys(settings))
        self.data_plane = DataPlane(
            self._make_routing_view(),
            settings,
            self._sealer,
            self.metrics,
            self._keys,
        )
        self._lease_part = LeasePart(self.lease)
        self._peer = self._make_peer()
        self._source = open_source(settings.source)
        self._reader = self._make_reader(entropy)
        self._relay = self._make_relay()
        self._routing_key: tuple[object, object, object] | None = None
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False
        self._logged_versions: dict[DocumentName, Version] = {}

    # Wiring

    def _make_peer(self) -> Peer:
        handler = ControlHandler(
            self.membership,
            self.store.digest,
            (
                self._lease_part,
                LoadPart(self.data_plane.loads, self.data_plane.report_load),
            ),
        )
        options = PeerOptions(
            address=self.row.peer_address,
            keys=self._keys,
            timeout_ms=self.settings.membership.probe_timeout_ms,
        )
        return Peer(
            options,
            self.membership,
            handler,
            self._intake,
            _now_ms,
            self.metrics,
        )

    def _make_reader(self, seed: int) -> ConfigurationReader:
        return ConfigurationReader(
            self._source,
            self._intake,
            reader.read_options(self.settings.source),
            self._choose_reader_role,
            _now_ms,
            self.metrics,
            seed,
        )

    def _make_relay(self) -> Relay:
        options = RelayOptions(
            connect_timeout_ms=self.settings.relay.connect_timeout_ms,
            idle_timeout_ms=self.settings.relay.idle_timeout_ms,
            buffer_bytes=self.settings.relay.buffer_bytes,
        )
        chooser = FewestConnections(self._catalog, self.row.name)
        limit = FlowLimit(self.admission)
        return Relay(options, self._catalog, chooser, limit, self.metrics)

    def _make_serving_context(self) -> ServingContext:
        flow = self.settings.flow
        invariant = self.settings.invariant
        return ServingContext(
            identity=self._identity,
            settings=self.settings,
            sealer=self._sealer,
            record=DuplicateRecord(flow.cookie_lifetime_ms + flow.longest_timeout_ms),
            admission=self.admission,
            output=self.data_plane,
            counters=self.metrics,
            invariants=Invariants(self.metrics, is_enabled=invariant.is_enabled),
            clock_ms=_now_ms,
            generator=random.Random(self._identity.incarnation),
        )

    def _catalog(self) -> Catalog:
        return self.store.catalog

    def _choose_reader_role(self) -> reader.ReaderRole:
        view = self.membership.current_view()
        watchers = self.settings.source.watchers
        return choose_role(self.row.name, self.row.domain, view, watchers)

    # Lifecycle

    async def run(self) -> int:
        """
        Serve until ``request_stop`` is called.

        Returns
        -------
        int
            Exit code of the process.
        """
        try:
            await self._start()
        except OSError as error:
            logger.error('cannot start: {}', error)
            return EXIT_CANNOT_START
        status_server = await self._start_status()
        logger.info(
            'instance {} of {} started, incarnation {}',
            self.row.name,
            self.row.domain,
            self._identity.incarnation,
        )
        await self._stop.wait()
        await self._drain()
        if status_server:
            status_server.stop()
        await self._close()
        logger.info('instance {} stopped', self.row.name)
        return EXIT_OK

    def request_stop(self) -> None:
        """Start a graceful stop."""
        self._stop.set()

    def request_reload(self) -> None:
        """Read the configuration without waiting for the poll interval."""
        self._reload.set()

    async def _start(self) -> None:
        self.data_plane.start(self.row.peer_address, self._make_serving_context())
        self._open_settings_addresses()
        await self._peer.start()
        self._start_task(self._peer.run())
        self._start_task(self.data_plane.run())
        self._start_task(self._run_control_loop())
        await self._reader.start(self._fetch_from_seeds)
        self._start_task(self._reader.run())
        self._start_task(self._reload_on_request())

    async def _fetch_from_seeds(self) -> None:
        seeds = ini.parse_endpoints(self.settings.source.seed_peers)
        await self._peer.fetch_from_seeds(seeds)

    def _open_settings_addresses(self) -> None:
        text = self.settings.entrance.datagram_addresses
        for service, address in ini.parse_named_endpoints(text):
            self.data_plane.add_service(ServiceName(service), address)

    def _open_published_addresses(self) -> None:
        if self.settings.entrance.datagram_addresses:
            return
        for service in self.store.catalog.services.values():
            for address in service.datagram_addresses:
                self._open_address(service.name, address)

    def _open_address(self, service: ServiceName, address: Endpoint) -> None:
        if self.data_plane.listens_on(service, address):
            return
        try:
            self.data_plane.add_service(service, address)
        except OSError as error:
            self.metrics.add('entrance.bind_failed')
            logger.error('cannot listen on {} of {}: {}', address, service, error)

    async def _start_status(self) -> StatusServer | None:
        if not self.settings.instance.status_address:
            return None
        address = parse_endpoint(self.settings.instance.status_address)
        server = StatusServer(self, address)
        try:
            await server.start()
        except OSError as error:
            logger.error('no status endpoint on {}: {}', address, error)
            return None
        return server

    async def _reload_on_request(self) -> None:
        while True:
            await self._reload.wait()
            self._reload.clear()
            logger.info('configuration is read on request')
            await self._reader.read_once()

    # Configuration and membership

    def _apply_configuration(self, now_ms: float) -> None:
        catalog = self.store.catalog
        logger.info('configuration taken: {}', self._changed_documents())
        self.membership.set_published(catalog.instances.values(), now_ms)
        self.lease.set_plans(catalog, now_ms)
        self._open_published_addresses()
        self._start_task(self._listen_streams())
        published_row = catalog.instances.get(self.row.name)
        if published_row and not self._is_stopping:
            self.membership.set_live(now_ms)
            if published_row.state is OperatorState.LEAVING:
                logger.info('the published list says that this instance leaves')
                self._stop.set()

    def _changed_documents(self) -> str:
        versions = self.store.versions()
        changed = sorted(set(versions.items()) - set(self._logged_versions.items()))
        self._logged_versions = dict(versions)
        return ', '.join(f'{name} {version}' for name, version in changed)

    async def _listen_streams(self) -> None:
        text = self.settings.entrance.stream_addresses
        if text:
            named = ini.parse_named_endpoints(text)
            addresses = [(ServiceName(name), address) for name, address in named]
        else:
            services = self.store.catalog.services.values()
            addresses = [
                (service.name, address)
                for service in services
                for address in service.stream_addresses
            ]
        for finding in await self._relay.listen(addresses):
            logger.error('{}', finding)

    async def _run_control_loop(self) -> None:
        while True:
            now_ms = _now_ms()
            self._update_view(now_ms)
            self.admission.publish_demand(now_ms)
            for peer in set(self._lease_part.collect_due_reports(now_ms)):
                self._start_task(self._exchange_with(peer))
            await asyncio.sleep(CONTROL_TICK_MS / MS_PER_S)

    async def _exchange_with(self, peer: InstanceId) -> None:
        if not await self._peer.exchange_now(peer):
            self.metrics.add('lease.report_unanswered')

    def _update_view(self, now_ms: float) -> None:
        view = self.membership.view(now_ms)
        catalog = self.store.catalog
        key = (view, catalog, self.membership.incarnation)
        if self._routing_key and all(
            current is previous
            for current, previous in zip(key, self._routing_key, strict=True)
        ):
            return
        self._routing_key = key
        self._identity.incarnation = self.membership.incarnation
        self._set_lease_view(now_ms)
        self.data_plane.set_view(self._make_routing_view(), now_ms)

    def _set_lease_view(self, now_ms: float) -> None:
        view = self.membership.current_view()
        count = max(1, len(self.store.catalog.instances))
        self.lease.set_view(self.row.domain, view.serving, count, now_ms)

    def _make_routing_view(self) -> RoutingView:
        view = self.membership.current_view()
        catalog = self.store.catalog
        if catalog is not self._owners_catalog:
            # OwnerTable compares the tuple by identity: the same object is passed until
            # the catalog changes, so that the owners are not recomputed.
            self._owners_catalog = catalog
            self._upstreams = tuple(catalog.upstreams.values())
        owners = self._owners.owners(self._upstreams, view)
        return RoutingView(
            own_instance=self.row.name,
            incarnation=self._identity.incarnation,
            own_incarnations=frozenset(self.membership.own_incarnations),
            catalog=catalog,
            membership=view,
            owners=owners,
        )

    # Stop

    async def _drain(self) -> None:
        """Move all flows to other instances and wait for running requests."""
        self._is_stopping = True
        logger.info('graceful stop begins')
        started_ms = _now_ms()
        self.membership.leave(started_ms)
        timeout_ms = self.settings.instance.stop_timeout_ms
        stream_stop = asyncio.create_task(self._relay.stop(timeout_ms))
        min_drain_ms = MIN_STOP_KEEPALIVES * self.settings.flow.keepalive_ms
        while _now_ms() - started_ms < timeout_ms:
            await asyncio.sleep(CONTROL_TICK_MS / MS_PER_S)
            self.data_plane.retire_all(_now_ms())
            is_announced = _now_ms() - started_ms >= min_drain_ms
            if is_announced and stream_stop.done() and self.data_plane.is_drained:
                break
        else:
            logger.warning('graceful stop timed out after {} ms', timeout_ms)
        await stream_stop

    async def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.data_plane.close()
        await self._peer.stop()
        await self._source.close()

    def _start_task(self, coroutine: 'asyncio._CoroutineLike[None]') -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.metrics.add('task.failed')
            logger.opt(exception=task.exception()).error('a task failed')

    # Status

    def status(self) -> Json:
        """Return the values of ``/status``: state, versions, members, upstreams."""
        view = self.membership.current_view()
        return {
            'instance': self.row.name,
            'failure_domain': self.row.domain,
            'region': self.row.region,
            'incarnation': str(self._identity.incarnation),
            'state': self.membership.state.name,
            'is_late': self.membership.is_late(_now_ms()),
            'is_stopping': self._is_stopping,
            'versions': dict(sorted(self.store.versions().items())),
            'findings': [str(finding) for finding in self._reader.findings()],
            'members': {
                name: member.state.name for name, member in sorted(view.members.items())
            },
            'upstreams': [
                {
                    'name': served.row.name,
                    'is_owner': served.is_owner,
                    'is_up': served.home.is_up,
                    'open_flows': len(served.home.flow_table),
                    'queued': served.request_server.scheduler.queued(),
                    'running': served.request_server.scheduler.running(),
                }
                for served in self._list_served()
            ],
            'shares': dict(self._list_shares(_now_ms())),
            'stream_connections': self._relay.open_connections,
        }

    def _list_shares(self, now_ms: float) -> Iterator[tuple[str, Json]]:
        for customer in sorted(self.store.catalog.customers):
            demand = self.admission.demand(customer, now_ms)
            if demand != ZERO_ALLOWANCE:
                share = self.lease.share(customer, now_ms)
                yield customer, {'share': asdict(share), 'demand': asdict(demand)}

    def flows(self) -> Iterator[Json]:
        """Iterate over the flows that this instance serves."""
        for served in tuple(self._list_served()):
            for flow in tuple(served.home.flows_by_id.values()):
                yield {
                    'flow': flow.flow_id.hex(),
                    'service': flow.service,
                    'customer': flow.customer,
                    'upstream': served.row.name,
                    'caller': str(flow.caller),
                    'generation': flow.generation,
                    'is_home': flow.is_home,
                }

    def counters(self) -> Json:
        """Return the instance name, the counters and the gauges."""
        return {
            'instance': self.row.name,
            'counters': dict(sorted(self.metrics.counts().items())),
            'gauges': dict(sorted(self.metrics.gauges().items())),
        }

    def _list_served(self) -> Iterator[ServedUpstream]:
        for name in sorted(self.data_plane.served):
            yield self.data_plane.served[name].upstream


class _Runner:
    """Run the event loop in a worker thread; the main thread handles signals."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._is_started = threading.Event()
        self._is_done = threading.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._instance: Instance | None = None

    def serve(self) -> int:
        """Run the instance in the calling thread and return the exit code."""
        try:
            return asyncio.run(self._run_instance())
        finally:
            self._is_started.set()
            self._is_done.set()

    async def _run_instance(self) -> int:
        self._loop = asyncio.get_running_loop()
        unix_ms = time.time() * MS_PER_S
        self._instance = Instance(self._settings, _now_ms(), unix_ms)
        self._is_started.set()
        return await self._instance.run()

    def send_metrics(self) -> None:
        """Send metrics to statsd until the instance has stopped."""
        self._is_started.wait()
        metric = self._settings.metric
        if self._instance is None or not metric.statsd_address:
            return
        address = parse_endpoint(metric.statsd_address)
        sender = StatsdSender(self._instance.metrics, address, metric.prefix)
        sender.run(metric.interval_ms / MS_PER_S, self._is_done)

    def wait(self) -> None:
        """Handle signals until the instance has stopped."""
        self._is_started.wait()
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGHUP, self._request_reload)
        # Without a timeout, the wait would delay signal handlers until it returns.
        is_done = False
        while not is_done:
            is_done = self._is_done.wait(SIGNAL_POLL_S)

    def _request_stop(self, *_arguments: object) -> None:
        if self._loop and self._instance:
            self._loop.call_soon_threadsafe(self._instance.request_stop)

    def _request_reload(self, *_arguments: object) -> None:
        if self._loop and self._instance:
            self._loop.call_soon_threadsafe(self._instance.request_reload)


def run_instance(settings: Settings) -> int:
    """
    Run one instance until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit code of the process.
    """
    log_format = LogFormat(settings.log.format)
    set_up_log(log_format, settings.log.level, settings.instance.name, sys.stderr)
    runner = _Runner(settings)
    with ThreadPoolExecutor(THREADS) as pool:
        serving = pool.submit(runner.serve)
        sending = pool.submit(runner.send_metrics)
        runner.wait()
        sending.result()
        return serving.result()


def _read_own_row(settings: Settings) -> InstanceRow:
    return InstanceRow(
        name=InstanceId(settings.instance.name),
        domain=DomainName(settings.instance.failure_domain),
        region=RegionName(settings.instance.region),
        peer_address=parse_endpoint(settings.instance.peer_address),
        state=OperatorState.LIVE,
    )


def _read_cluster_keys(settings: Settings) -> Iterator[bytes]:
    instance = settings.instance
    for hex_key in (instance.cluster_key, instance.previous_cluster_key):
        if hex_key:
            yield bytes.fromhex(hex_key)


def _now_ms() -> float:
    return time.monotonic() * MS_PER_S
