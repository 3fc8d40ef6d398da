"""Trials for ``tools.mutants``: each returns a tuple of the faults it detected."""

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
# The first seed with which a former home runs a request late if the upstream does not
# reject stale generations.
FENCING_SEEDS = (10,)
CALLER_COUNT = 6


@cache
def run_seeds(*events, seeds, seconds=10):
    """Return a trial that simulates the seeds until a run has a fault."""

    def trial():
        for seed in seeds:
            faults = simulate(seed, seconds, CALLER_COUNT, events).faults()
            if faults:
                return (f'seed {seed} with {", ".join(events)}', *faults)
        return ()

    return trial


def moved_request_repeated():
    """
    A request that was answered Moved arrives again.

    The home has regained the ownership of the upstream in the meantime.
    """
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
    """
    A queued request that was answered Moved arrives again.

    The home has regained the ownership of the upstream, and its link is up.
    """
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
    """A former home sends a run of an older generation after a process pause."""
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
        """Discard the frame."""


def request_under_stale_generation():
    """A request arrives with a cookie of an earlier generation of the flow."""
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
    """An upstream of another service sends the hello at the published address."""
    rig = HomeRig()
    rig.connect(SERVICES[1])
    rig.open()
    return ('the upstream received a FlowOpen',) if rig.frame_count('flow_open') else ()


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
    """A packet with a valid cookie arrives at the address of another service."""
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
    """A cookie arrives with a modified byte."""
    sealer, sealed_cookie = _seal_cookie()
    tampered_cookie = sealed_cookie[:-1] + bytes((sealed_cookie[-1] ^ 1,))
    is_open = isinstance(sealer.open(FLOW, tampered_cookie), Success)
    return ('the modified cookie was accepted',) if is_open else ()


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
    """A peer offers a lower document version than the stored one."""
    store = SnapshotStore()
    name = DocumentName('plans')
    for version in (2, 1):
        store.offer(Document(name, Version(version), PLAN_TEXT), 0)
    held_version = store.versions().get(name)
    return () if held_version == 2 else (f'version {held_version} is stored after 2',)


def answer_of_stale_generation():
    """An answer of an earlier generation arrives after the request was sent again."""
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
    return ('an answer of generation 1 was accepted under 2',) if is_accepted else ()


def without_leaving_check(trial):
    """Return the trial with the home's check for leaving upstreams disabled."""

    def run_trial():
        original = FlowServer._is_leaving
        FlowServer._is_leaving = lambda self: False
        try:
            return trial()
        finally:
            FlowServer._is_leaving = original

    return run_trial
