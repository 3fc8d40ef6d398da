"""Steps for the relay, with real sockets in the test process."""

import asyncio
import contextlib
import random
import socket
import struct
import time
import tracemalloc
from dataclasses import replace

from behave import given, then, when

from cardamomtiller.counter import Counters
from cardamomtiller.entrance.relay import Relay, RelayOptions
from cardamomtiller.entrance.streamchoice import FewestConnections, StreamLimit
from cardamomtiller.identity import (
    CustomerId,
    DomainName,
    Endpoint,
    InstanceId,
    OperatorState,
    RegionName,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.catalog import build_catalog
from cardamomtiller.lists.document import ServiceRow, UpstreamRow

OPTIONS = RelayOptions(
    connect_timeout_ms=300, idle_timeout_ms=30_000, buffer_bytes=16_384
)
WAIT_S = 5
CUSTOMER = CustomerId('traders')
SMALL_BUFFER = 65_536


class Upstream:
    """A TCP server with one behaviour; counts connections, bytes, ends and resets."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.accepted_count = self.open_count = self.received_bytes = (
            self.sent_bytes
        ) = 0
        self.reset_count = self.end_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = Endpoint(*self.server.sockets[0].getsockname())

    async def serve(self, reader, writer):
        self.accepted_count += 1
        self.open_count += 1
        try:
            await getattr(self, self.behaviour)(reader, writer)
        except ConnectionError:
            self.reset_count += 1
        except asyncio.CancelledError:
            # End of the scenario. A re-raised cancellation would be logged by asyncio.
            writer.transport.abort()
        finally:
            self.open_count -= 1
            writer.close()

    async def echo(self, reader, writer):
        while data := await reader.read(65_536):
            self.received_bytes += len(data)
            writer.write(data)
            await writer.drain()
        self.end_count += 1

    async def greeting(self, reader, writer):
        writer.write(b'hello')
        writer.write_eof()
        while data := await reader.read(65_536):
            self.received_bytes += len(data)
        self.end_count += 1

    async def flooding(self, reader, writer):
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        while True:
            writer.write(bytes(16_384))
            await writer.drain()
            self.sent_bytes += 16_384

    async def resetting(self, reader, writer):
        await reader.read(1)
        reset(writer)


class CountingLimit(StreamLimit):
    """Limit on the number of open connections."""

    def __init__(self):
        self.max_connections = 1_000
        self.connection_count = 0

    def admit(self, customer, now_ms):
        assert customer == CUSTOMER
        if self.connection_count >= self.max_connections:
            return False
        self.connection_count += 1
        return True

    def release(self, customer, now_ms):
        self.connection_count -= 1


class FixedChooser(FewestConnections):
    """Chooser that selects one upstream, whatever its service."""

    def choose(self, service, exclude, now_ms):
        return None if self.row.name in exclude else self.row


class RelayFixture:
    """Fixture: a relay, its upstreams and the published lists."""

    def __init__(self):
        self.counters = Counters()
        self.limit = CountingLimit()
        self.upstreams = {}
        self.rows = {}
        self.service = ServiceRow(ServiceName('desk'), (), (), CUSTOMER)
        self.chooser = FewestConnections(self.catalog, InstanceId('i1'))

    def catalog(self):
        other_service = ServiceRow(ServiceName('other'), (), (), CUSTOMER)
        return build_catalog((self.service, other_service, *self.rows.values()))

    async def add(self, name, service, behaviour):
        upstream = Upstream(behaviour)
        await upstream.start()
        self.upstreams[name] = upstream
        self.rows[name] = UpstreamRow(
            name=UpstreamId(name),
            service=ServiceName(service),
            domain=DomainName('d'),
            region=RegionName('r'),
            address=upstream.address,
            stream_address=upstream.address,
            slots=1,
            state=OperatorState.LIVE,
        )

    async def start(self):
        self.relay = Relay(
            OPTIONS, self.catalog, self.chooser, self.limit, self.counters
        )
        self.address = find_free_address()
        assert not await self.relay.listen([(self.service.name, self.address)])

    async def connect(self):
        return await asyncio.open_connection(self.address.host, self.address.port)

    def first_choice(self):
        row = self.chooser.choose(self.service.name, frozenset(), 0)
        return row.name


def reset(writer):
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def find_free_address():
    """Return a loopback address without a listener."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return Endpoint(*probe.getsockname())


def run(context, coroutine):
    """Run a coroutine in the event loop of the scenario, with a timeout."""
    if not hasattr(context, 'relay_loop'):
        context.relay_loop = asyncio.new_event_loop()
        context.add_cleanup(close_loop, context.relay_loop)
    timed = asyncio.wait_for(coroutine, 4 * WAIT_S)
    return context.relay_loop.run_until_complete(timed)


def close_loop(loop):
    """Cancel the remaining tasks of a scenario and close its event loop."""

    async def cancel():
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    loop.run_until_complete(cancel())
    loop.close()


async def eventually(condition):
    """Poll a condition until it holds; fail after ``WAIT_S``."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s, 'condition did not become true'
        await asyncio.sleep(0.01)


async def is_reset(reader):
    """Read to the end of a connection; return whether it was reset."""
    try:
        while await asyncio.wait_for(reader.read(65_536), WAIT_S):
            continue
    except ConnectionError:
        return True
    return False


@given('a relay to the {behaviour} upstreams "{names}" of service "{service}"')
def start_relay(context, behaviour, names, service):
    context.fixture = RelayFixture()

    async def start():
        for name in names.split(', '):
            await context.fixture.add(name, service, behaviour)
        await context.fixture.start()

    run(context, start())


@given('the upstream that is selected first refuses connections')
def refuse_first(context):
    name = context.fixture.first_choice()
    refusing = replace(context.fixture.rows[name], stream_address=find_free_address())
    context.fixture.rows[name] = refusing


@given('the upstream that is selected first does not answer connection attempts')
def silence_first(context):
    # The kernel does not answer connection attempts while the accept queue is full.
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect(listener.getsockname())
    for opened in (listener, *fillers):
        context.add_cleanup(opened.close)
    name = context.fixture.first_choice()
    address = Endpoint(*listener.getsockname())
    silent = replace(context.fixture.rows[name], stream_address=address)
    context.fixture.rows[name] = silent


@given('an upstream "{name}" of service "{service}"')
def add_upstream(context, name, service):
    run(context, context.fixture.add(name, service, 'echo'))


@given('a chooser that always selects "{name}"')
def fix_chooser(context, name):
    chooser = FixedChooser(context.fixture.catalog, InstanceId('i1'))
    chooser.row = context.fixture.rows[name]
    context.fixture.relay._chooser = chooser


@given('an allowance of {count:d} connections')
def set_allowance(context, count):
    context.fixture.limit.max_connections = count


@when('a caller sends {count:d} bytes and half-closes')
def send_and_end(context, count):
    context.body = random.Random(count).randbytes(count)

    async def exchange():
        reader, writer = await context.fixture.connect()

        async def send():
            writer.write(context.body)
            await writer.drain()
            writer.write_eof()

        _, context.answer = await asyncio.gather(send(), reader.read())
        writer.close()

    run(context, exchange())


@then('the caller receives the same {count:d} bytes and then end of stream')
def check_echo(context, count):
    assert len(context.answer) == count, len(context.answer)
    assert context.answer == context.body


@then('the relay counts {count:d} "{name}"')
def check_counter(context, count, name):
    counters = context.fixture.counters
    run(context, eventually(lambda: counters.count(name) >= count))
    assert counters.count(name) == count, counters.counts()


@when('a caller reads the greeting to end of stream and then sends {count:d} bytes')
def read_then_send(context, count):
    async def exchange():
        reader, writer = await context.fixture.connect()
        assert await reader.read() == b'hello'
        writer.write(bytes(count))
        await writer.drain()
        writer.close()

    run(context, exchange())


@then('upstream "{name}" has received {count:d} bytes and then end of stream')
def check_received(context, name, count):
    upstream = context.fixture.upstreams[name]
    run(context, eventually(lambda: upstream.end_count == 1))
    assert upstream.received_bytes == count


@when('a caller connects and does not read')
def connect_without_reading(context):
    async def connect():
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            connection, context.fixture.address.as_pair()
        )
        return connection

    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    context.slow = run(context, connect())
    context.add_cleanup(context.slow.close)


@then('the upstream stops sending while the relay allocates at most {limit:d} bytes')
def check_stopped(context, limit):
    upstream = context.fixture.upstreams['u1']

    async def settle():
        previous = -1
        while previous != upstream.sent_bytes:
            previous = upstream.sent_bytes
            await asyncio.sleep(0.2)

    run(context, settle())
    assert upstream.sent_bytes, 'nothing was sent'
    peak = tracemalloc.get_traced_memory()[1]
    assert peak <= limit, peak


@then('the upstream sends again after the caller reads')
def check_resumes(context):
    upstream = context.fixture.upstreams['u1']
    sent_before = upstream.sent_bytes
    loop = context.relay_loop

    async def read():
        while upstream.sent_bytes <= sent_before:
            assert await loop.sock_recv(context.slow, 65_536)

    run(context, read())


@when('a caller sends {count:d} bytes and waits')
def send_and_wait(context, count):
    async def send():
        context.reader, context.writer = await context.fixture.connect()
        context.writer.write(bytes(count))

    run(context, send())


@when('a caller sends {count:d} bytes and resets the connection')
def send_and_reset(context, count):
    async def send():
        reader, writer = await context.fixture.connect()
        writer.write(bytes(count))
        await reader.readexactly(count)
        reset(writer)

    run(context, send())


@then('the caller sees a reset')
def check_caller_reset(context):
    assert run(context, is_reset(context.reader))


@then('upstream "{name}" sees a reset')
def check_upstream_reset(context, name):
    upstream = context.fixture.upstreams[name]
    run(context, eventually(lambda: upstream.reset_count == 1))


@then('one upstream received one connection and the other received none')
def check_one_connection(context):
    counts = [
        upstream.accepted_count for upstream in context.fixture.upstreams.values()
    ]
    assert sorted(counts) == [0, 1], counts


@then('upstream "{name}" has received {count:d} connections')
def check_connected(context, name, count):
    assert context.fixture.upstreams[name].accepted_count == count


@given('an idle timeout of {timeout:g} s')
def set_idle_timeout(context, timeout):
    options = replace(OPTIONS, idle_timeout_ms=timeout * 1000)
    context.fixture.relay._options = options


@when('a caller exchanges {count:d} bytes, one every {pause:g} s, and then is idle')
def trickle(context, count, pause):
    async def exchange():
        context.reader, context.writer = await context.fixture.connect()
        for _ in range(count):
            await asyncio.sleep(pause)
            context.writer.write(b'x')
            assert await context.reader.readexactly(1) == b'x'
            context.last_sent_s = time.monotonic()

    run(context, exchange())


@then('the caller sees a reset between {low:g} s and {high:g} s later')
def check_idle(context, low, high):
    assert run(context, is_reset(context.reader))
    assert low <= time.monotonic() - context.last_sent_s <= high


async def open_echo(context):
    """Open a connection and check that it echoes."""
    context.reader, context.writer = await context.fixture.connect()
    context.writer.write(b'ping')
    assert await context.reader.readexactly(4) == b'ping'


@when('the relay is stopped with a timeout of {limit:g} s while one connection is open')
def stop_with_open(context, limit):
    async def begin():
        await open_echo(context)
        stop = context.fixture.relay.stop(limit * 1000)
        context.stop = asyncio.create_task(stop)
        await asyncio.sleep(0.05)

    run(context, begin())


@then('a new connection is refused')
def check_refused(context):
    assert run(context, is_refused(context.fixture.address))


async def is_refused(address):
    """Return whether connections to an address are refused."""
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return True
    writer.close()
    return False


@then('the open connection still echoes and closes normally')
def check_open(context):
    async def exchange():
        context.writer.write(b'pong')
        context.writer.write_eof()
        assert await context.reader.read() == b'pong'
        context.writer.close()

    run(context, exchange())


@then('the stop reports {finished:d} finished and {cut:d} cut')
def check_stop(context, finished, cut):
    async def wait():
        return await context.stop

    report = run(context, wait())
    assert (report.finished, report.cut) == (finished, cut), report


@when('"{name}" is published as leaving')
def publish_leaving(context, name):
    row = context.fixture.rows[name]
    context.fixture.rows[name] = replace(row, state=OperatorState.LEAVING)


@when('the service is published without a stream customer')
def publish_without_customer(context):
    context.fixture.service = replace(context.fixture.service, stream_customer=None)


@when('{count:d} callers connect one after the other')
def connect_many(context, count):
    async def connect():
        for _ in range(count):
            await open_echo(context)
            context.writer.close()

    run(context, connect())


@when('{count:d} callers keep their connections open')
def hold_many(context, count):
    async def hold():
        context.open_connections = [
            await context.fixture.connect() for _ in range(count)
        ]
        count_of = context.fixture.counters.count
        await eventually(
            lambda: count_of('relay.opened') + count_of('relay.refused_limit') == count
        )
        upstreams = context.fixture.upstreams.values()
        opened = count_of('relay.opened')
        await eventually(
            lambda: sum(upstream.open_count for upstream in upstreams) == opened
        )

    run(context, hold())


@then('each upstream has {count:d} open connections')
def check_spread(context, count):
    open_counts = {
        name: upstream.open_count
        for name, upstream in context.fixture.upstreams.items()
    }
    assert set(open_counts.values()) == {count}, open_counts


@then('{count:d} of them sees a reset')
def check_resets(context, count):
    async def probe():
        resets = 0
        for reader, _ in context.open_connections:
            with contextlib.suppress(TimeoutError, ConnectionError):
                await asyncio.wait_for(reader.read(1), 0.05)
            resets += isinstance(reader.exception(), ConnectionResetError)
        return resets

    assert run(context, probe()) == count


@then('another caller can connect after one of them is closed')
def check_released(context):
    async def replace_one():
        writer = context.open_connections[0][1]
        writer.close()
        await eventually(lambda: context.fixture.limit.connection_count == 1)
        await open_echo(context)

    run(context, replace_one())


@when('the listen address is replaced while one connection is open')
def move_listener(context):
    async def move():
        await open_echo(context)
        context.old_address = context.fixture.address
        context.fixture.address = find_free_address()
        listen_addresses = [(context.fixture.service.name, context.fixture.address)]
        assert not await context.fixture.relay.listen(listen_addresses)

    run(context, move())


@then('the old address refuses connections and the new one relays')
def check_moved(context):
    assert run(context, is_refused(context.old_address))
    old_connection = (context.reader, context.writer)
    run(context, open_echo(context))
    context.writer.close()
    context.reader, context.writer = old_connection


@given('another process holds a second address')
def hold_address(context):
    context.holder = socket.create_server(('127.0.0.1', 0))
    context.second = Endpoint(*context.holder.getsockname())


@when('the second address is added to the listen addresses')
def listen_on_second(context):
    fixture = context.fixture
    listen_addresses = [
        (fixture.service.name, fixture.address),
        (fixture.service.name, context.second),
    ]
    context.findings = run(context, fixture.relay.listen(listen_addresses))


@then('a finding names the second address')
def check_finding(context):
    (finding,) = context.findings
    assert str(context.second) in str(finding), finding


@when('the other process releases the second address')
def release_address(context):
    context.holder.close()
    context.fixture.address = context.second


@then('the second address relays within {limit:d} s')
def check_second_address(context, limit):
    async def retry():
        async with asyncio.timeout(limit):
            for _ in range(limit * 20):
                if not await is_refused(context.second):
                    break
                await asyncio.sleep(0.05)
        await open_echo(context)

    run(context, retry())


@when('the listen addresses are applied again')
def listen_again(context):
    listen_addresses = [(context.fixture.service.name, context.fixture.address)]
    run(context, context.fixture.relay.listen(listen_addresses))
