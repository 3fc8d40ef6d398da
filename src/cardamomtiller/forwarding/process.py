"""The forwarding process: its packet socket and event loop."""

import os
import select
import signal
import time
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from types import FrameType
from typing import TYPE_CHECKING

from cardamomtiller.forwarding.observation.reachability import ProbeResult
from cardamomtiller.forwarding.packet import PacketFormat, Token
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.processoptions import ProcessOptions
from cardamomtiller.forwarding.published.records import RecordDecoder, RecordSource
from cardamomtiller.forwarding.replication.following import Follower, ReadResult
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.replication.sources import SourceSelector
from cardamomtiller.forwarding.replication.updating import ReplicaUpdater
from cardamomtiller.forwarding.routing.dispatch import Dispatcher
from cardamomtiller.forwarding.routing.forwarder import (
    Delivery,
    Forwarder,
    handle_datagrams,
)
from cardamomtiller.forwarding.settingswatch import SettingsSource, SettingsWatch
from cardamomtiller.forwarding.sockets.prober import Prober
from cardamomtiller.forwarding.sockets.rawsocket import datagram_socket
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.telemetry.reporting import Reporter
from cardamomtiller.ids import MS_PER_S

if TYPE_CHECKING:
    from cardamomtiller.forwarding.endpoints import EndpointOptions, Endpoints
    from cardamomtiller.forwarding.sockets.httpserver import Reply, Request

STANDARD_OUTPUT = 1
MAX_DATAGRAM_BYTES = 65_535
MAX_DATAGRAMS_PER_CALL = 64
WAKE_BYTES = 64


class Phase(Enum):
    """Life-cycle phase of a process, as reported to health checks and in the log."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'


class ForwardingProcess:
    """Event loop over the sockets of a process, and owner of the reading thread."""

    def __init__(
        self,
        options: ProcessOptions,
        packet_format: PacketFormat,
        source: RecordSource,
        decoder: RecordDecoder,
    ) -> None:
        """Open the packet socket, which buffers packets, and start to read records."""
        self._options = options
        self._packet_socket = datagram_socket(
            options.packet_address,
            options.receive_buffer_bytes,
        )
        wake_pipe = _open_pipe()
        self._wake_reader = wake_pipe[0]
        self._wake_writer = wake_pipe[1]
        os.set_blocking(STANDARD_OUTPUT, False)
        self._follower = Follower(
            options.local_member,
            source,
            SourceSelector(options.local_member, options.sources),
            options.follower,
            monotonic_ms,
            self._wake,
        )
        self._follower.start()
        self._phase = Phase.STARTING
        self._stop_at_ms: float | None = None
        self._meters = Meters()
        self._log = DecisionLog(options.local_member.instance, options.log, time.time)
        self._forwarder = Forwarder(
            Locality(
                options.local_member.domain,
                options.regions,
                options.local_member.instance,
            ),
            packet_format,
            options.packet_address[1],
            options.forwarding,
            self._log,
            self._meters,
        )
        self._dispatcher = self._make_dispatcher()
        self._replica = Replica(self._forwarder, decoder, self._log, self._meters)
        self._updater = ReplicaUpdater(
            self._follower, self._replica, self._log, self._meters
        )
        self._poller = select.epoll()
        self._endpoints: Endpoints | None = None
        probe_timeout_ms = options.forwarding.reachability.probe_timeout_ms
        self._prober = Prober(self._poller, probe_timeout_ms)

    def run(self, settings: SettingsSource) -> None:
        """
        Forward packets until a stop signal and the following ``stop_ms``.

        Parameters
        ----------
        settings
            Read after the first packets were forwarded, and again on each reload.
        """
        self._settings = settings
        self._settings_watch = SettingsWatch(settings)
        self._handle_signals()
        self._log.write_milestone(
            'process_started', monotonic_ms(), phase=self._phase.value
        )
        self._poller.register(self._wake_reader, select.EPOLLIN)
        self._guard(self._poll_once)
        self._open_endpoints(settings.endpoint_options())
        self._forward_until_stopped()
        self._log.write_milestone('process_stopped', monotonic_ms())
        self._log.flush()

    def _handle_signals(self) -> None:
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGHUP, self._request_reload)

    def _forward_until_stopped(self) -> None:
        next_tick_ms: float = 0
        while not self._is_stopped(monotonic_ms()):
            self._guard(self._poll_once)
            self._guard(self._release_waiting)
            self._guard(self._send_due)
            now_ms = monotonic_ms()
            if now_ms >= next_tick_ms:
                next_tick_ms = now_ms + self._options.tick_interval_ms
                self._tick()
        self._guard(self._release_all_waiting)
        self._follower.stop()

    def _guard(self, step: Callable[[], None]) -> None:
        """Run a step of the loop; an unexpected error ends only this step."""
        try:
            step()
        except Exception as error:
            # The end of the process would interrupt all flows.
            self._log_defect(error)

    def _release_waiting(self) -> None:
        if self._forwarder.waiting:
            now_ms = monotonic_ms()
            self._send(self._forwarder.release_waiting(now_ms), now_ms)

    def _make_dispatcher(self) -> Dispatcher | None:
        options = self._options.forwarding.link
        rate = self._forwarder.transfer_openings.rate
        if options is None or rate is None or rate.is_unpaced:
            return None
        evidence = self._forwarder.observer.evidence
        reporter = Reporter(self._log, self._meters)
        return Dispatcher(options, rate, evidence, reporter)

    def _release_all_waiting(self) -> None:
        now_ms = monotonic_ms()
        self._send(self._forwarder.release_all_waiting(now_ms), now_ms)
        if self._dispatcher is not None:
            self._send_now(self._dispatcher.drain(now_ms), now_ms)

    def _send_due(self) -> None:
        if self._dispatcher is not None and self._dispatcher.is_waiting:
            now_ms = monotonic_ms()
            self._send_now(self._dispatcher.due(now_ms), now_ms)

    def _log_defect(self, error: Exception) -> None:
        import traceback

        self._meters.count('defects')
        text = ''.join(traceback.format_exception(error))
        self._log.write('defect', monotonic_ms(), error=repr(error), traceback=text)

    def _open_endpoints(self, options: 'EndpointOptions') -> None:
        # Importing these modules would delay the first packets after a restart.
        from cardamomtiller.forwarding.endpoints import Endpoints

        self._endpoints = Endpoints(
            options,
            self._answer_health_check,
            self._replica,
            self._forwarder.observer.loads,
            self._log,
            self._meters,
            self._poller,
            monotonic_ms(),
        )

    def _poll_once(self) -> None:
        """Wait for readable descriptors, at most one tick, and handle them."""
        for descriptor, _ in self._poller.poll(self._wait_ms() / MS_PER_S):
            if descriptor == self._packet_socket.fileno():
                self._forward_packets()
            elif descriptor == self._wake_reader:
                os.read(self._wake_reader, WAKE_BYTES)
                self._apply_results()
            elif self._prober.owns(descriptor):
                self._handle_probe_result(*self._prober.finish(descriptor))
            elif self._endpoints is not None:
                self._endpoints.serve(descriptor, monotonic_ms())

    def _wait_ms(self) -> float:
        """Return the time until the next periodic work or delivery is due."""
        wait_ms = self._options.tick_interval_ms
        if self._forwarder.waiting:
            wait_ms = self._options.release_interval_ms
        if self._dispatcher is None or not self._dispatcher.is_waiting:
            return wait_ms
        link_wait_ms = self._dispatcher.wait_ms(monotonic_ms())
        return wait_ms if link_wait_ms is None else min(wait_ms, link_wait_ms)

    def _forward_packets(self) -> None:
        now_ms = monotonic_ms()
        self._send(
            handle_datagrams(self._forwarder, self._receive_datagrams(), now_ms), now_ms
        )
        self._send(self._forwarder.reset_waiting_flows(now_ms), now_ms)
        if self._forwarder.observer.reachability.is_probe_due:
            self._run_probes(now_ms)

    def _send(self, deliveries: Iterable[Delivery], now_ms: float) -> None:
        """Send deliveries at once, or as far as the link has room for them."""
        if self._dispatcher is not None:
            deliveries = self._dispatcher.send(deliveries, now_ms)
        self._send_now(deliveries, now_ms)

    def _send_now(self, deliveries: Iterable[Delivery], now_ms: float) -> None:
        for delivery in deliveries:
            try:
                self._packet_socket.sendto(delivery.datagram, delivery.address)
            except OSError as error:
                self._meters.count('sends_failed')
                self._log.write(
                    'send_failed',
                    now_ms,
                    address=f'{delivery.address[0]}:{delivery.address[1]}',
                    error=str(error),
                )

    def _receive_datagrams(self) -> Iterator[bytes]:
        for _ in range(MAX_DATAGRAMS_PER_CALL):
            try:
                yield self._packet_socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports here that an earlier datagram was refused,
                # because no process listens at its destination.
                self._meters.count('receives_failed')
                self._log.write('receive_failed', monotonic_ms(), error=str(error))

    def _run_probes(self, now_ms: float) -> None:
        for token, result in self._prober.expire(now_ms):
            self._handle_probe_result(token, result)
        for token in self._forwarder.observer.reachability.due_probes(now_ms):
            upstream = self._forwarder.directory.by_token(token)
            if upstream is None:
                continue
            self._meters.count('probes')
            immediate_result = self._prober.start(token, upstream.entry.address, now_ms)
            if immediate_result is not None:
                self._handle_probe_result(token, immediate_result)

    def _handle_probe_result(self, token: Token, result: ProbeResult) -> None:
        now_ms = monotonic_ms()
        self._forwarder.observer.handle_probe_result(token, result, now_ms)
        self._send(self._forwarder.reset_waiting_flows(now_ms), now_ms)

    def _apply_results(self) -> None:
        previous_ms = self._replica.confirmed_ms
        for result in self._follower.drain_results():
            self._apply_result(result, monotonic_ms())
        if self._endpoints is not None and self._replica.confirmed_ms != previous_ms:
            self._endpoints.answer_pending(monotonic_ms())

    def _apply_result(self, result: ReadResult, now_ms: float) -> None:
        self._updater.apply(result, now_ms)
        is_from_peer = result.batch is not None and not result.is_from_source
        if self._endpoints is not None and is_from_peer:
            self._endpoints.record_peer_contact(result.host, now_ms)
        if self._phase is Phase.STARTING and self._replica.is_usable:
            self._start_serving(now_ms)

    def _start_serving(self, now_ms: float) -> None:
        self._phase = Phase.SERVING
        self._poller.register(self._packet_socket.fileno(), select.EPOLLIN)
        self._log.write_milestone(
            'serving',
            now_ms,
            configuration=self._forwarder.configuration.version,
            revision=str(self._replica.revision),
        )
        # Forwards the packets that wait in the socket before the endpoints are opened,
        # which takes long.
        self._forward_packets()

    def _tick(self) -> None:
        """Do the periodic work; an error in one part does not keep the others back."""
        for step in (
            self._sweep,
            self._run_due_probes,
            self._serve_endpoints,
            self._reload_if_due,
            self._sweep_link,
            self._update_gauges,
        ):
            self._guard(step)
        self._log.flush()

    def _sweep(self) -> None:
        now_ms = monotonic_ms()
        self._forwarder.steadiness = self._replica.steadiness(now_ms)
        self._forwarder.sweep(now_ms)

    def _sweep_link(self) -> None:
        if self._dispatcher is not None:
            self._dispatcher.sweep(monotonic_ms())

    def _run_due_probes(self) -> None:
        self._run_probes(monotonic_ms())

    def _serve_endpoints(self) -> None:
        if self._endpoints is None:
            return
        now_ms = monotonic_ms()
        self._follower.peers = self._endpoints.tick(now_ms)
        self._follower.remote_members = self._endpoints.remote_members()
        self._forwarder.admission.instances = self._endpoints.fleet_size(now_ms)
        self._forwarder.update_members(
            self._options.local_member, self._endpoints.member_contacts(), now_ms
        )

    def _reload_if_due(self) -> None:
        now_ms = monotonic_ms()
        if self._settings_watch.is_reload_due(now_ms):
            self._reload(now_ms)

    def _update_gauges(self) -> None:
        admission = self._forwarder.admission
        self._meters.set_gauge('replica_age_ms', self._replica.age_ms(monotonic_ms()))
        self._meters.set_gauge('opens_abandoned', admission.abandoned)
        self._meters.set_gauge('opens_waiting', admission.waiting)
        transfers = self._forwarder.transfer_openings
        self._meters.set_gauge('transfers_abandoned', transfers.abandoned)
        self._meters.set_gauge('transfers_waiting', len(transfers))
        self._meters.set_gauge('log_lines_suppressed', self._log.suppressed)

    def _reload(self, now_ms: float) -> None:
        """Read the settings again; keep the current ones if that fails."""
        try:
            options = self._settings.endpoint_options()
        except (OSError, ValueError, KeyError, TypeError) as error:
            self._meters.count('reloads_failed')
            self._log.write_milestone('reload_failed', now_ms, error=repr(error))
            return
        if self._endpoints is not None:
            self._endpoints.reload(options)
        seeds = ','.join(options.exchange.seeds)
        self._log.write_milestone('reloaded', now_ms, seeds=seeds)

    def _answer_health_check(self, _request: 'Request', _now_ms: float) -> 'Reply':
        from cardamomtiller.forwarding.sockets.httpserver import Reply

        if self._phase is Phase.SERVING:
            return Reply(200, 'text/plain', b'serving\n')
        return Reply(503, 'text/plain', f'{self._phase.value}\n'.encode())

    def _is_stopped(self, now_ms: float) -> bool:
        return self._stop_at_ms is not None and now_ms >= self._stop_at_ms

    def _request_stop(self, _signal: int, _frame: FrameType | None) -> None:
        if self._stop_at_ms is not None:
            return
        self._phase = Phase.STOPPING
        now_ms = monotonic_ms()
        self._stop_at_ms = now_ms + self._options.stop_ms
        self._log.write_milestone('stop_asked', now_ms, stop_ms=self._options.stop_ms)
        if self._endpoints is not None:
            self._endpoints.announce_leave(now_ms)

    def _request_reload(self, _signal: int, _frame: FrameType | None) -> None:
        self._settings_watch.request_reload()

    def _wake(self) -> None:
        try:
            os.write(self._wake_writer, b'.')
        except BlockingIOError:
            # The pipe is full, so the loop has a wake-up pending already.
            return


def _open_pipe() -> tuple[int, int]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    return reader, writer


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * MS_PER_S
