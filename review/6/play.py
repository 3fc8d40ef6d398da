"""A backend is taken away and starts again under its id a minute later; planned work only."""

import asyncio
import signal
import time
from pathlib import Path

from standins import BACKEND_PORT, Backend, main

BACKENDS = 7
FLOWS = 42
# drain_timeout_ms (3,000) and a little longer.
SERVES_S = 3.3
# Pauses of clients between two requests of a flow are below idle_timeout_ms (12,000).
PAUSE_S = 11.5
AWAY_S = 60.6


def held_by(world, flows, backend):
    """Return the open flows that a backend holds."""
    return [flow for flow in flows if not flow.end and world.holder(flow) is backend]


async def open_flows(world, count, label):
    """Open flows with one answered request each."""
    flows = [world.flow(443) for _ in range(count)]
    for flow in flows:
        if not await flow.open() or await flow.request(f'{label}-{flow.port}', 1.0) != 'answered':
            world.record.write('flow', flow.port, 'not used:', flow.end or 'no answer')
    return [flow for flow in flows if flow.is_open and not flow.end]


async def play(world):
    """Return whether an instance reset flows that a live backend held."""
    names = [f'i-{0x5EA0000000 + n:010x}' for n in range(BACKENDS)]
    world.backends = [Backend(world, name, 'seny', 'nadi-a', f'{world.net}.100.{n + 1}')
                      for n, name in enumerate(names)]
    await world.start({443: 'seny'})
    for backend in world.backends:
        await backend.start()
    for host in world.hosts:
        world.start_instance(host)
    await world.wait_ready()
    router = asyncio.create_task(world.route_packets())
    first, second = world.hosts
    await asyncio.sleep(4.5)
    subject = world.backends[0]
    flows = await open_flows(world, FLOWS, 'first')
    last_request_s = time.monotonic()
    idle = [flow for flow in held_by(world, flows, subject) if world.route(flow) == first]
    world.record.write('flows at', subject.name, 'through', first, len(idle))
    if not idle:
        raise RuntimeError('no flow to observe')
    if world.trouble:
        subject.drain()
        world.record.write('the store has acknowledged that', subject.name, 'drains')
        await asyncio.sleep(SERVES_S)
        subject.end()
        removed_s = time.monotonic()
        world.record.write(subject.name, 'has ended, its entry is removed')
    else:
        await asyncio.sleep(SERVES_S)
        removed_s = time.monotonic()
    # Clients go on after a pause; the backend of these flows has ended.
    await asyncio.sleep(max(0, last_request_s + PAUSE_S - time.monotonic()))
    await asyncio.gather(*(flow.request(f'paused-{flow.port}', 2.0) for flow in idle))
    await asyncio.sleep(max(0, removed_s + AWAY_S - time.monotonic()))
    if world.trouble:
        again = Backend(world, subject.name, 'seny', 'nadi-a', subject.host)
        await again.start()
        world.backends[0] = subject = again
        world.record.write(subject.name, 'has started again, its entry is written, born', subject.born)
    # All machines and backends are calm for the stability window.
    await asyncio.sleep(4.1)
    flows = await open_flows(world, FLOWS, 'new')
    own = held_by(world, flows, subject)
    world.record.write('new flows at', subject.name, len(own), 'through',
                       sorted({world.route(flow) for flow in own}))
    if not own:
        raise RuntimeError('no new flow at the backend')
    # The instances are stopped in turn; the flows go through the other one.
    world.processes[second].send_signal(signal.SIGTERM)
    world.record.write('SIGTERM to', second)
    while second in world.rotation:
        await asyncio.sleep(0.05)
    outcomes = await asyncio.gather(*(flow.request(f'second-{flow.port}', 1.0) for flow in own))
    held = sum(world.holder(flow) is subject for flow in own)
    resets = sum(flow.end == 'reset by the system' for flow in own)
    world.record.write('requests', len(own), 'answered', outcomes.count('answered'), 'reset by the system', resets,
                       'flows that', subject.name, f'at {subject.host}:{BACKEND_PORT} still holds', held)
    for host, line in world.logs():
        if subject.name in line and any(word in line for word in ('suspected', 'reachab', 'flow_reset', 'entry')):
            world.record.write('log of', host, line)
    router.cancel()
    return resets > 0


main(play, Path(__file__).parent, ['nadi-a', 'nadi-a'])
