"""Steps for the stand-ins of upstream, fabric and network."""

import asyncio
import contextlib
import json
import os
import tempfile
from functools import partial
from pathlib import Path

from behave import given, then, when

from cardamomtiller.wire_pb2 import (
    REASON_STALE_GENERATION,
    REASON_UNKNOWN_FLOW,
    CancelRun,
    FlowOpen,
    FlowPing,
    FlowRecord,
    PushFrameAck,
    RunRequest,
    UpstreamFrame,
)
from tools.plan import load_plan
from tools.processes import LOOPBACK, Ports
from tools.standins.admin import AdminRequest
from tools.standins.fabric import Fabric
from tools.standins.faults import FaultyNetwork
from tools.standins.proxy import Rule, Rules
from tools.standins.upstream import Behaviour, Upstream

FLOW = b'f' * 16
ROOT = Path(__file__).resolve().parents[3]


class InstanceLink:
    """Connection of an instance to the stand-in upstream."""

    def __init__(self, reader, writer):
        """Use an open connection."""
        self.reader, self.writer = reader, writer

    def send(self, **body):
        """Send a frame with the given body, prefixed by its length."""
        data = UpstreamFrame(**body).SerializeToString()
        self.writer.write(len(data).to_bytes(4, 'big') + data)

    async def expect(self, *kinds):
        """Return the next frame whose body is one of the kinds; skip other frames."""
        async with asyncio.timeout(3):
            while True:
                length = int.from_bytes(await self.reader.readexactly(4), 'big')
                data = await self.reader.readexactly(length)
                frame = UpstreamFrame.FromString(data)
                if frame.WhichOneof('body') in kinds:
                    return frame

    def open_flow(self, generation, flow=FLOW):
        """Send a FlowOpen of a generation."""
        record = FlowRecord(flow_id=flow, generation=generation)
        self.send(flow_open=FlowOpen(flow=record, home='h'))

    def run(self, request_id, generation=1, flow=FLOW, **header):
        """Send a RunRequest whose payload starts with the header."""
        request = RunRequest(
            flow_id=flow,
            generation=generation,
            request_id=request_id,
            payload=json.dumps(header).encode() + b'\nbody',
        )
        self.send(run_request=request)


def standin_loop(context):
    if not hasattr(context, 'standin_loop'):
        context.standin_loop = asyncio.new_event_loop()
        context.add_cleanup(close_loop, context.standin_loop)
    return context.standin_loop


def close_loop(loop):
    # In Python 3.11, stream servers call the exception handler for cancelled tasks.
    loop.set_exception_handler(lambda _loop, _context: None)
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()


def run_in_loop(context, work):
    return standin_loop(context).run_until_complete(work)


async def connect(context):
    link = InstanceLink(*await asyncio.open_connection(LOOPBACK, context.standin_port))
    assert (await link.expect('hello')).hello.service == 'desk'
    return link


@given('a stand-in upstream with {slots:d} slots')
def start_upstream(context, slots):
    context.standin_port = Ports().allocate()

    async def start():
        context.standin = Upstream('u', 'desk', Behaviour(slots=slots))
        serve = context.standin.serve_link
        await asyncio.start_server(serve, LOOPBACK, context.standin_port)
        context.standin_timers = asyncio.create_task(context.standin.run_timers())
        return await connect(context)

    context.link = run_in_loop(context, start())


@when('its link opens a flow under generations 1, 1, 3 and 2')
def open_generations(context):
    async def run():
        for generation in (1, 1, 3, 2):
            context.link.open_flow(generation)
            yield (await context.link.expect('flow_opened')).flow_opened

    async def collect():
        return [opened async for opened in run()]

    context.opened = run_in_loop(context, collect())


@then('the stand-in grants, refuses, grants and refuses the flow')
def check_grants(context):
    stale = REASON_STALE_GENERATION
    assert [row.refusal for row in context.opened] == [0, stale, 0, stale]
    assert context.opened[3].held_generation == 3


@then('an unknown flow under generation 2 is refused as unknown')
def check_unknown_open(context):
    context.link.open_flow(2, b'g' * 16)
    opened = run_in_loop(context, context.link.expect('flow_opened')).flow_opened
    assert opened.refusal == REASON_UNKNOWN_FLOW


@then('a request under generation 2 is shed as stale and never run')
def check_stale(context):
    context.link.run(1, generation=2)
    shed = run_in_loop(context, context.link.expect('run_shed')).run_shed
    assert shed.reason == REASON_STALE_GENERATION
    assert not context.standin.executions


@then('a request of an unknown flow is shed and never run')
def check_unknown_flow(context):
    context.link.run(1, flow=b'g' * 16)
    shed = run_in_loop(context, context.link.expect('run_shed')).run_shed
    assert shed.reason == REASON_UNKNOWN_FLOW
    assert not context.standin.executions


@when('its link sends a long request, another, cancels the first and sends a third')
def cancel_one(context):
    context.link.open_flow(1)
    context.link.run(1, work_ms=60_000)
    context.link.run(2)
    context.link.send(cancel_run=CancelRun(flow_id=FLOW, request_id=1))
    context.link.run(3)

    async def collect():
        frames = [await context.link.expect('run_shed', 'run_answer') for _ in '12']
        return [(row.WhichOneof('body'), row) for row in frames]

    context.frames = run_in_loop(context, collect())


@then('the second is shed, the first is not answered and the third is answered')
def check_cancelled(context):
    (first, shed), (second, answer) = context.frames
    assert (first, second) == ('run_shed', 'run_answer'), context.frames
    assert shed.run_shed.request_id == 2
    assert answer.run_answer.request_id == 3
    outcomes = [row.outcome for row in context.standin.executions]
    assert outcomes == ['cancelled', 'finished'], outcomes


@when('its link sends the same request twice')
def run_twice(context):
    context.link.open_flow(1)
    context.link.run(1)
    run_in_loop(context, context.link.expect('run_answer'))
    context.link.run(1)
    run_in_loop(context, context.link.expect('run_answer'))


@then('the stand-in reports {count:d} double run')
def check_double_runs(context, count):
    assert read_stats(context)['double_runs'] == count


@when('its link sends a request that names another service')
def run_misrouted(context):
    context.link.open_flow(1)
    context.link.run(1, service='desk')
    context.link.run(2, service='other')
    for _ in range(2):
        run_in_loop(context, context.link.expect('run_answer'))


@then('the stand-in reports {count:d} misrouted request')
def check_misrouted(context, count):
    assert read_stats(context)['misrouted'] == count


def read_stats(context):
    return context.standin.stats(AdminRequest('/stats', {}, b'')).content


@when('its link opens a flow and does not acknowledge a push')
def receive_push(context):
    context.standin.behaviour.push_interval_ms = 60
    context.link.open_flow(1)
    first = run_in_loop(context, context.link.expect('push_frame')).push_frame
    context.standin.behaviour.push_interval_ms = 0
    context.push_id = first.push_id


@then(
    'the push is resent on the link that took over the flow, until it is acknowledged'
)
def check_push(context):
    async def run():
        second = await connect(context)
        second.open_flow(2)
        repeated = (await second.expect('push_frame')).push_frame
        assert repeated.push_id == context.push_id
        ack = PushFrameAck(flow_id=FLOW, push_id=context.push_id)
        second.send(push_frame_ack=ack)
        await asyncio.sleep(0.05)
        resent = context.standin.counts['pushes_resent']
        await asyncio.sleep(0.5)
        assert context.standin.counts['pushes_resent'] == resent
        stale_ping = FlowPing(flow=FlowRecord(flow_id=FLOW, generation=1))
        context.link.send(flow_ping=stale_ping)
        pong = (await context.link.expect('flow_pong')).flow_pong
        assert pong.refusal == REASON_STALE_GENERATION

    run_in_loop(context, run())


@when('{count:d} flows are opened on the stand-in')
def open_many(context, count):
    async def run():
        for number in range(count):
            context.link.open_flow(1, number.to_bytes(16, 'big'))
        for _ in range(count):
            await context.link.expect('flow_opened')

    run_in_loop(context, run())


@then(
    'a new link receives {lists:d} flow lists with {flows:d} flows, and only the last is marked'
)
def check_lists(context, lists, flows):
    async def run():
        link = await connect(context)
        return [(await link.expect('flow_list')).flow_list for _ in range(lists)]

    flow_lists = run_in_loop(context, run())
    assert sum(len(row.flows) for row in flow_lists) == flows
    assert [row.is_last for row in flow_lists] == [False] * (lists - 1) + [True]


@when('the link of the stand-in breaks during a run')
def break_link(context):
    async def run():
        context.link.open_flow(1)
        context.link.run(1, work_ms=200)
        await context.link.expect('flow_opened')
        await asyncio.sleep(0.05)
        context.link.writer.close()
        await asyncio.sleep(0.4)

    run_in_loop(context, run())


@then('the run finishes and {count:d} answer is dropped')
def check_dropped(context, count):
    assert [row.outcome for row in context.standin.executions] == ['finished']
    assert context.standin.counts['answers_dropped'] == count


class EchoInstance(asyncio.DatagramProtocol):
    """Instance that returns each datagram, prefixed by the number of the instance."""

    def __init__(self, number):
        """Set the number of the instance."""
        self.number = number

    def connection_made(self, transport):
        """Store the transport for the replies."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Return the datagram to its sender."""
        self.transport.sendto(bytes((self.number,)) + data, addr)


class ReplyCollector(asyncio.DatagramProtocol):
    """Caller that stores the datagrams that it receives."""

    def __init__(self):
        """Create a caller without received datagrams."""
        self.received = []

    def datagram_received(self, data, addr):
        """Store the datagram."""
        self.received.append(data)


@given('a stand-in fabric over {count:d} echoing instances')
def start_fabric(context, count):
    ports = Ports()
    context.addresses = [(LOOPBACK, ports.allocate()) for _ in range(count)]
    context.fabric = Fabric(seed=3)

    async def start():
        loop = asyncio.get_running_loop()
        for number, address in enumerate(context.addresses):
            echo = EchoInstance(number)
            await loop.create_datagram_endpoint(
                lambda echo=echo: echo, local_addr=address
            )
        address = (LOOPBACK, ports.allocate())
        await context.fabric.serve_datagrams('desk', address)
        context.fabric.pools['desk'].datagram = context.addresses
        context.caller, context.answers = await loop.create_datagram_endpoint(
            ReplyCollector, remote_addr=address
        )

    run_in_loop(context, start())


@when('a caller sends {count:d} datagrams and the list then shrinks to 1 instance')
def send_datagrams(context, count):
    async def run():
        for number in range(count):
            context.caller.sendto(bytes((number,)))
        await asyncio.sleep(0.2)
        context.first_answers = list(context.answers.received)
        context.answers.received.clear()
        context.fabric.pools['desk'].datagram = context.addresses[2:]
        for number in range(count):
            context.caller.sendto(bytes((number,)))
        await asyncio.sleep(0.2)

    run_in_loop(context, run())


@then(
    'each instance received datagrams, all are echoed, '
    'and later datagrams reach only the listed instance'
)
def check_spread(context):
    assert {row[0] for row in context.first_answers} == {0, 1, 2}
    assert sorted(row[1] for row in context.first_answers) == list(range(90))
    assert {row[0] for row in context.answers.received} == {2}
    assert len(context.answers.received) == 90


def pass_datagrams(context, rules, count, source='a', target='b'):
    """Return the numbers of the datagrams that the rules let pass."""
    delivered = []

    async def run():
        for number in range(count):
            rules.pass_datagram(source, target, partial(delivered.append, number), 1)
        await asyncio.sleep(0.05)

    run_in_loop(context, run())
    return delivered


@then(
    'two faulty paths with seed {seed:d} lose the same {lost:d} of {count:d} '
    'datagrams, within a tolerance of {slack:d}'
)
def check_loss(context, seed, lost, count, slack):
    delivered_runs = []
    for _ in range(2):
        rules = Rules(seed)
        rules.set('loss', Rule(loss=lost / count))
        delivered_runs.append(pass_datagrams(context, rules, count))
    assert delivered_runs[0] == delivered_runs[1]
    assert abs(count - lost - len(delivered_runs[0])) <= slack, len(delivered_runs[0])


@then(
    'a faulty path with a one-way cut loses all datagrams in one direction '
    'and none in the other'
)
def check_one_way(context):
    rules = Rules(1)
    rules.set('cut', Rule(source='x/*', target='y/*', cut=1))
    assert not pass_datagrams(context, rules, 50, 'x/1', 'y/1')
    assert len(pass_datagrams(context, rules, 50, 'y/1', 'x/1')) == 50


@then('a faulty path with duplication 1 delivers {delivered:d} datagrams for {sent:d}')
def check_duplicates(context, delivered, sent):
    rules = Rules(1)
    rules.set('twice', Rule(duplicate=1))
    assert len(pass_datagrams(context, rules, sent)) == delivered


async def echo_stream(reader, writer):
    while chunk := await reader.read(1000):
        writer.write(chunk)
    writer.close()


@given('a faulty stream to an echo server')
def start_faulty_stream(context):
    ports = Ports()
    target, listen = (LOOPBACK, ports.allocate()), (LOOPBACK, ports.allocate())
    context.network = FaultyNetwork(seed=1)
    context.network.labels_by_pid[os.getpid()] = 'near/caller'

    async def start():
        await asyncio.start_server(echo_stream, *target)
        await context.network.add_proxy('far/echo', listen, target, ['tcp'])
        reader, writer = await asyncio.open_connection(*listen)
        writer.write(b'first')
        assert await reader.readexactly(5) == b'first'
        return reader, writer

    context.stream = run_in_loop(context, start())


@when('the path of the stream is cut while bytes are sent')
def cut_stream(context):
    rule = Rule(source='near/*', target='far/*', cut=1)
    context.network.rules.set('cut', rule)
    context.stream[1].write(b'second')


@then('no byte arrives until the cut is removed, and then all bytes arrive')
def check_stalled(context):
    async def run():
        reader = context.stream[0]
        try:
            await asyncio.wait_for(reader.read(1), 0.3)
        except TimeoutError:
            pass
        else:
            raise AssertionError(
                'bytes or the end of the stream arrived during the cut'
            )
        context.network.rules.clear('cut')
        async with asyncio.timeout(2):
            assert await reader.readexactly(6) == b'second'

    run_in_loop(context, run())


@then('a reset of the path aborts the stream')
def check_reset(context):
    async def run():
        context.network.rules.set('reset', Rule(reset=1))
        async with asyncio.timeout(2):
            with contextlib.suppress(ConnectionResetError):
                assert not await context.stream[0].read(1)
        assert context.network.rules.counts['streams_reset'] == 1

    run_in_loop(context, run())


@then('the label of a stream is the label of the process that opened it')
def check_label(context):
    network = FaultyNetwork(seed=1)
    network.labels_by_pid = {os.getppid(): 'a/parent', os.getpid(): 'b/self'}
    port = Ports().allocate()

    async def run():
        server = await asyncio.start_server(echo_stream, LOOPBACK, port)
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        label = network.find_stream_label(
            writer.get_extra_info('peername'), writer.get_extra_info('sockname')
        )
        writer.close()
        server.close()
        return label

    assert run_in_loop(context, run()) == 'b/self'


@then('the example scenario files are valid')
def read_examples(context):
    paths = sorted((ROOT / 'examples' / 'scenarios').glob('*.ini'))
    assert paths
    for path in paths:
        plan = load_plan(path)
        assert plan.domains, path
        assert plan.loads, path


@then(
    'a scenario with the key "{key}" for "flows" or a section "{section}" is rejected'
)
def check_rejected(context, key, section):
    load = f'[load a]\nservice = s\ncustomers = c\nflows = 1\n{key} = 1\n'
    for text in (load, f'[{section} a]\n'):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write(text)
            file.flush()
            try:
                load_plan(Path(file.name))
            except ValueError:
                continue
            raise AssertionError(f'the scenario was accepted: {text!r}')
