"""The process: sockets and the loop that connects them to the decisions."""

import os
import select
import signal
import socket
import time
from collections.abc import Iterator
from enum import Enum
from types import FrameType
from typing import NamedTuple

from cardamomtiller.forwarding.decisionlog import DecisionLog, LogOptions
from cardamomtiller.forwarding.following import Follower, FollowOptions, Reading
from cardamomtiller.forwarding.forwarder import Forwarder, deliver_all
from cardamomtiller.forwarding.httpserver import HttpServer, Reply
from cardamomtiller.forwarding.meters import Meters
from cardamomtiller.forwarding.options import ForwardingOptions
from cardamomtiller.forwarding.packet import PacketFormat
from cardamomtiller.forwarding.picture import Picture
from cardamomtiller.forwarding.records import RecordDecoder, RecordSource
from cardamomtiller.forwarding.upstreams import SocketAddress
from cardamomtiller.ids import MS_PER_S, DomainName, InstanceId

STANDARD_OUTPUT = 1
MAX_DATAGRAM_BYTES = 65_535
DATAGRAMS_PER_TURN = 64
WAKE_BYTES = 64


class NodeOptions(NamedTuple):
    """
    Addresses and times of a process.

    Attributes
    ----------
    stop_ms
        How long a process still forwards after it was asked to stop.
    tick_ms
        Interval of the work that does not depend on packets.
    receive_buffer_bytes
        Room for packets that arrive while the process does other work.
    """

    instance: InstanceId
    domain: DomainName
    packet_address: SocketAddress
    health_address: SocketAddress
    health_path: str
    stop_ms: float
    tick_ms: float
    receive_buffer_bytes: int
    follow: FollowOptions
    forwarding: ForwardingOptions
    log: LogOptions


class Phase(Enum):
    """Where a process is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'


class Node:
    """One process: a loop over its sockets, and the task that reads the source."""

    def __init__(
        self,
        options: NodeOptions,
        packet_format: PacketFormat,
        source: RecordSource,
        decoder: RecordDecoder,
    ) -> None:
        """Open the sockets; packets wait in them until ``run``."""
        self._options = options
        self._packets = self._open_packet_socket()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        os.set_blocking(STANDARD_OUTPUT, False)
        self._follower = Follower(source, options.follow, steady_ms, self._wake)
        self._follower.start()
        self._phase = Phase.STARTING
        self._stop_at_ms: float | None = None
        self._reload_asked = False
        self._source_error: str | None = None
        self._meters = Meters()
        self._log = DecisionLog(options.instance, options.log, time.time)
        self._forwarder = Forwarder(
            options.domain,
            packet_format,
            options.packet_address[1],
            options.forwarding,
            self._log,
            self._meters,
        )
        self._picture = Picture(self._forwarder, decoder, self._log, self._meters)
        self._health = HttpServer(
            options.health_address,
            {options.health_path: self._answer_health_check},
        )
        self._poller = select.epoll()

    def run(self) -> None:
        """Forward until asked to stop."""
        signal.signal(signal.SIGTERM, self._ask_to_stop)
        signal.signal(signal.SIGHUP, self._ask_to_reload)
        self._log.write('process_started', steady_ms(), phase=self._phase.value)
        for descriptor in (self._wake_reader, self._health.listener):
            self._poller.register(descriptor, select.EPOLLIN)
        tick_at_ms = 0.0
        while not self._is_stopped(steady_ms()):
            for descriptor, _ in self._poller.poll(self._options.tick_ms / MS_PER_S):
                self._serve(descriptor)
            now_ms = steady_ms()
            if now_ms >= tick_at_ms:
                tick_at_ms = now_ms + self._options.tick_ms
                self._tick(now_ms)
        self._log.write('process_stopped', steady_ms())
        self._log.flush()

    def _open_packet_socket(self) -> socket.socket:
        packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        size = self._options.receive_buffer_bytes
        packets.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        packets.bind(self._options.packet_address)
        packets.setblocking(False)
        return packets

    def _serve(self, descriptor: int) -> None:
        if descriptor == self._packets.fileno():
            self._forward()
        elif descriptor == self._wake_reader:
            os.read(self._wake_reader, WAKE_BYTES)
            self._take_readings()
        elif descriptor == self._health.listener:
            accepted = self._health.accept()
            if accepted is not None:
                self._poller.register(accepted, select.EPOLLIN)
        elif self._health.owns(descriptor):
            # A closed descriptor leaves the poller by itself.
            self._health.serve(descriptor)

    def _forward(self) -> None:
        now_ms = steady_ms()
        for delivery in deliver_all(self._forwarder, self._received(), now_ms):
            try:
                self._packets.sendto(delivery.datagram, delivery.address)
            except OSError as error:
                self._meters.count('sends_failed')
                self._log.write(
                    'send_failed',
                    now_ms,
                    address=f'{delivery.address[0]}:{delivery.address[1]}',
                    error=str(error),
                )

    def _received(self) -> Iterator[bytes]:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                yield self._packets.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A refused send of before is reported on the next receive.
                self._meters.count('receives_failed')
                self._log.write('receive_failed', steady_ms(), error=str(error))

    def _take_readings(self) -> None:
        while (reading := self._follower.take()) is not None:
            self._take_reading(reading, steady_ms())

    def _take_reading(self, reading: Reading, now_ms: float) -> None:
        if reading.error != self._source_error:
            event = 'source_lost' if reading.error else 'source_regained'
            self._log.write(event, now_ms, error=reading.error or self._source_error)
            self._source_error = reading.error
        if reading.batch is None:
            self._meters.count('source_errors')
            return
        self._picture.apply(reading.batch, reading.asked_ms, now_ms)
        if self._phase is Phase.STARTING and self._picture.is_complete:
            self._start_serving(now_ms)

    def _start_serving(self, now_ms: float) -> None:
        self._phase = Phase.SERVING
        self._poller.register(self._packets.fileno(), select.EPOLLIN)
        self._log.write(
            'serving',
            now_ms,
            configuration=self._forwarder.configuration.version,
            processor_ms=round(time.process_time() * MS_PER_S),
        )

    def _tick(self, now_ms: float) -> None:
        self._forwarder.sweep(now_ms)
        if self._reload_asked:
            self._reload_asked = False
            self._log.write('reload_asked', now_ms)
        self._log.flush()

    def _answer_health_check(self) -> Reply:
        if self._phase is Phase.SERVING:
            return Reply(200, 'text/plain', b'serving\n')
        return Reply(503, 'text/plain', f'{self._phase.value}\n'.encode())

    def _is_stopped(self, now_ms: float) -> bool:
        return self._stop_at_ms is not None and now_ms >= self._stop_at_ms

    def _ask_to_stop(self, _signal: int, _frame: FrameType | None) -> None:
        if self._stop_at_ms is not None:
            return
        self._phase = Phase.STOPPING
        now_ms = steady_ms()
        self._stop_at_ms = now_ms + self._options.stop_ms
        self._log.write('stop_asked', now_ms, stop_ms=self._options.stop_ms)

    def _ask_to_reload(self, _signal: int, _frame: FrameType | None) -> None:
        self._reload_asked = True

    def _wake(self) -> None:
        try:
            os.write(self._wake_writer, b'.')
        except BlockingIOError:
            # The pipe is full, so the loop is about to wake anyway.
            return


def steady_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * MS_PER_S
