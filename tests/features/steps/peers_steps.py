"""Steps for peers over real loopback sockets."""

import asyncio
import struct

from behave import given, then
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from cardamomtiller.lists.document import PLANS
from cardamomtiller.peer_grpc import PeerStub
from cardamomtiller.peering.peertransport import MAX_EXCHANGE_BYTES
from tools.live_fleet import PLAN, LiveFleet


@given('{count:d} peers on loopback with a stand-in configuration service')
def start_peers(context, count):
    runner = asyncio.Runner()
    context.add_cleanup(runner.close)
    context.live = LiveFleet(count, domains=3)
    context.run_live = runner.run
    runner.run(context.live.start())
    context.add_cleanup(lambda: runner.run(context.live.stop()))


@then('the views of all peers converge within {limit_ms:d} ms')
def check_converged(context, limit_ms):
    live = context.live
    took_ms = context.run_live(live.wait_until(lambda: live.views_agree(), limit_ms))
    assert took_ms is not None


@then('a published change is in force on all peers within {limit_ms:d} ms')
def check_change(context, limit_ms):
    live = context.live
    # Every instance starts with a short watch; wait until these have ended, so that
    # only the watchers still hold one.
    context.run_live(asyncio.sleep(2.5))
    context.reads = live.platform.counts.get('read', 0)
    version = live.platform.publish('plans', PLAN.format(rate=8))
    took_ms = context.run_live(
        live.wait_until(lambda: live.all_have_version(version), limit_ms)
    )
    assert took_ms is not None


@then('the peers propagate the change although most of them only poll')
def check_propagation(context):
    watchers = sum(
        instance.is_watcher() for instance in context.live.running_instances()
    )
    reads = context.live.platform.counts['read'] - context.reads
    assert 0 < reads <= watchers < len(context.live.running_instances()), (
        reads,
        watchers,
    )


@then('the death of one peer is detected by all others within {limit_ms:d} ms')
def check_death(context, limit_ms):
    live = context.live

    async def run():
        await live.kill(live.names[-1])
        return await live.wait_until(lambda: live.views_agree(), limit_ms)

    assert context.run_live(run()) is not None


@then(
    'a peer that restarts without the stand-in gets the configuration from the others'
)
def check_restart_without_platform(context):
    live = context.live
    held_version = next(iter(live.running_instances())).store.versions()[PLANS]

    async def run():
        live.disable_platform()
        await live.start_instance(live.names[-1])
        return await live.wait_until(
            lambda: live.views_agree() and live.all_have_version(held_version),
            limit_ms=3000,
        )

    assert context.run_live(run()) is not None


async def send_raw(address, data):
    """Send bytes and return the response that arrives within a second."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(1):
            return await reader.read(65_536)
    except (TimeoutError, ConnectionError):
        return b''
    finally:
        writer.close()


@then('a message with a length prefix of 1 GB is refused before it is read')
def check_oversized(context):
    instance = next(iter(context.live.running_instances()))
    address = instance.row.peer_address

    async def run():
        channel = Channel(address.host, address.port)
        try:
            async with PeerStub(channel).Swap.open(timeout=2) as stream:
                await stream.send_request()
                frame = struct.pack('>?I', False, 1 << 30) + b'x' * 1000
                await stream._stream.send_data(frame)
                await stream.recv_initial_metadata()
        except GRPCError as error:
            assert error.status is Status.RESOURCE_EXHAUSTED, error
            assert str(MAX_EXCHANGE_BYTES) in error.message
            return True
        finally:
            channel.close()
        return False

    assert context.run_live(run())
    assert instance.counters.count('peer.oversized') == 1


@then('malformed data and idle connections leave the peer answering')
def check_malformed_data(context):
    live = context.live
    instance = next(iter(live.running_instances()))

    async def run():
        address = instance.row.peer_address
        idle = [
            await asyncio.open_connection(address.host, address.port) for _ in range(20)
        ]
        for data in (b'\0' * 5000, b'GET / HTTP/1.1\r\n\r\n', bytes(range(256)) * 40):
            await send_raw(address, data)
        answered_before = instance.counters.count('peer.answered')
        await asyncio.sleep(2)
        for _reader, writer in idle:
            writer.close()
        return instance.counters.count('peer.answered') - answered_before

    assert context.run_live(run()) >= 2
    assert live.views_agree()


@then('idle peers send at most {limit:d} bytes a second each, TCP headers included')
def check_budget(context, limit):
    live = context.live

    async def run():
        await asyncio.sleep(2)
        traffic_before = live.traffic()
        await asyncio.sleep(4)
        return live.traffic().minus(traffic_before)

    traffic = context.run_live(run())
    per_s = traffic.sent_with_headers / 4 / len(live.running_instances())
    assert 0 < per_s <= limit, per_s
