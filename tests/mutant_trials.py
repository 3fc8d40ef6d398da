"""Trials for mutants: each returns the faults that it finds."""

import asyncio
from functools import cache

from returns.result import Success

from cardamomtiller.client import Client, ClientOptions, Status
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.routing import (
    Dropped,
    FlowKeys,
    InboundPacket,
    Router,
    RoutingView,
)
from cardamomtiller.identity import DocumentName, Endpoint, PlanName, Version
from cardamomtiller.lists.catalog import build_catalog
from cardamomtiller.lists.document import CustomerRow, Document, KeyRow
from cardamomtiller.lists.snapshot import SnapshotStore
from cardamomtiller.membership.membership import View
from cardamomtiller.serving.flowserving import FlowServer
from cardamomtiller.wire_pb2 import (
    Answer,
    AnswerStatus,
    Cookie,
    FlowOpen,
    FlowRecord,
    Keepalive,
    Packet,
    RunRequest,
    UpstreamFrame,
)
from tests.home_rig import FLOW, HomeRig
from tests.simulation import CUSTOMER, SECRET, SERVICES, make_upstream_row, simulate
from tools.standins.upstream import Behaviour, Link, Upstream

HOUR_MS = 3_600_000.0
PLAN_TEXT = """
[plan gold]
rate_per_s = 1
concurrent_requests = 4
open_flows = 10
bytes_in_flight = 100000
"""
SEEDS = (1, 2, 3)
# The first seed under which a run of an old home starts late without a fence.
FENCING_SEEDS = (10,)
CALLER_COUNT = 6


@cache
def run_seeds(*events, seeds, seconds=10):
    """Return a trial that simulates seeds until one run shows a fault."""

    def trial():
        for seed in seeds:
            faults = simulate(seed, seconds, CALLER_COUNT, events).faults()
            if faults:
                return (f'seed {seed} with {", ".join(events)}', *faults)
        return ()

    return trial


def moved_request_repeated():
    """A copy of a moved request arrives when the home is owner again."""
    rig = HomeRig()
    rig.connect()
    rig.open()
    cookie = rig.grant(1)
    rig.served.retire(rig.now_ms)
    rig.request(cookie)
    rig.served.resume_ownership(rig.now_ms)
    rig.request(cookie)
    return (
        ('a request ran after Moved',)
        if rig.packet_count('moved') and rig.run_count()
        else ()
    )


def moved_queued_request_repeated():
    """A copy of a request that was moved from the queue arrives later."""
    rig = HomeRig()
    rig.connect()
    rig.open()
    cookie = rig.grant(1)
    rig.link.is_up = False
    rig.request(cookie)
    rig.served.retire(rig.now_ms)
    rig.link.is_up = True
    rig.served.resume_ownership(rig.now_ms)
    rig.request(cookie)
    return (
        ('a request ran after Moved',)
        if rig.packet_count('moved') and rig.run_count()
        else ()
    )


def former_home_sends_late_run():
    """The earlier home of a flow sends a run to the upstream after a pause."""
    return asyncio.run(_send_late_run())


async def _send_late_run():
    upstream = Upstream('u1', SERVICES[0], Behaviour())
    for generation in (1, 2):
        record = FlowRecord(flow_id=FLOW, customer=CUSTOMER, generation=generation)
        flow_open_message = FlowOpen(flow=record, home=f'i{generation}')
        upstream.handle(
            _DiscardingLink(None), UpstreamFrame(flow_open=flow_open_message)
        )
    run_request = RunRequest(flow_id=FLOW, generation=1, request_id=1, chunk_count=1)
    upstream.handle(_DiscardingLink(None), UpstreamFrame(run_request=run_request))
    return ('the upstream ran a fenced request',) if upstream.executions else ()


class _DiscardingLink(Link):
    def send(self, frame):
        """Nobody reads the answers."""


def request_under_stale_generation():
    """A request arrives under the cookie of an earlier generation."""
    rig = HomeRig()
    rig.connect()
    rig.open()
    stale_cookie = rig.grant(1)
    rig.served.flow_server.retire(rig.now_ms)
    rig.served.flow_server.resume_ownership(rig.now_ms)
    rig.served.home.flows_by_id[FLOW].generation = 2
    rig.request(stale_cookie)
    return ('a request of generation 1 ran under 2',) if rig.run_count() else ()


def wrong_upstream_connects():
    """An upstream of another service answers at the published address."""
    rig = HomeRig()
    rig.connect(SERVICES[1])
    rig.open()
    return ('a flow was opened there',) if rig.frame_count('flow_open') else ()


def pause_before_run():
    """The process is paused between the arrival of a request and its run."""
    rig = HomeRig()
    rig.connect()
    rig.open()
    cookie = rig.grant(1)
    rig.paused_ms = 2000
    rig.request(cookie, timeout_ms=1000)
    return ('a request ran after its deadline',) if rig.run_count() else ()


def cookie_on_wrong_socket():
    """A packet with a valid cookie arrives on an address of another service."""
    sealer, sealed_cookie = _seal_cookie()
    packet = Packet(flow_id=FLOW, cookie=sealed_cookie, keepalive=Keepalive())
    datagram = codec.encode_packet(packet, codec.derive_flow_key(SECRET, FLOW))
    document_rows = [
        CustomerRow(CUSTOMER, PlanName('gold'), (SECRET,)),
        make_upstream_row(1, SERVICES[0]),
    ]
    view = RoutingView(
        'i1', 1, build_catalog(document_rows), View(), {}, frozenset((1,))
    )
    router = Router(view, sealer, FlowKeys(), {}, HOUR_MS)
    packet = codec.decode_packet(datagram).unwrap()
    route = router.route(InboundPacket(SERVICES[1], packet, datagram), 0, 0)
    return () if isinstance(route, Dropped) else (f'routed as {type(route).__name__}',)


def forged_cookie():
    """A cookie has been changed on the way."""
    sealer, sealed_cookie = _seal_cookie()
    tampered_cookie = sealed_cookie[:-1] + bytes((sealed_cookie[-1] ^ 1,))
    is_open = isinstance(sealer.open(FLOW, tampered_cookie), Success)
    return ('the changed cookie was opened',) if is_open else ()


def _seal_cookie():
    sealer = CookieSealer()
    sealer.set_keys({1: KeyRow(1, b'k' * 16, is_current=True)})
    cookie = Cookie(
        service=SERVICES[0],
        upstream='u1',
        customer=CUSTOMER,
        home='i1',
        home_incarnation=1,
        generation=1,
    )
    return sealer, sealer.seal(FLOW, cookie)


def older_document_arrives():
    """A peer offers a version below the one held."""
    store = SnapshotStore()
    name = DocumentName('plans')
    for version in (2, 1):
        store.offer(Document(name, Version(version), PLAN_TEXT), 0)
    held_version = store.versions().get(name)
    return () if held_version == 2 else (f'version {held_version} is held after 2',)


def answer_of_stale_generation():
    """The copy that was fenced answers after the request was sent again."""
    return asyncio.run(_receive_stale_answer())


async def _receive_stale_answer():
    client = Client(Endpoint('127.0.0.1', 9), CUSTOMER, SECRET, ClientOptions())
    client._generation, client._cookie = 2, b'cookie'
    request_task = asyncio.create_task(client.request(b'', timeout_ms=200))
    await asyncio.sleep(0.01)
    stale_answer = Answer(
        request_id=1,
        status=AnswerStatus.ANSWER_STATUS_NOT_RUN,
        chunk_count=1,
    )
    client._handle_answer(
        Packet(flow_id=client.flow, generation=1, answer=stale_answer)
    )
    answer = await request_task
    is_accepted = answer.status is Status.NOT_RUN
    return ('the late answer of generation 1 was taken',) if is_accepted else ()


def without_leaving_check(trial):
    """Run a trial while homes open flows at leaving upstreams."""

    def run_trial():
        original = FlowServer._is_leaving
        FlowServer._is_leaving = lambda self: False
        try:
            return trial()
        finally:
            FlowServer._is_leaving = original

    return run_trial
