"""Steps for the proof that an upstream has ended."""

from behave import then

from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    PathState,
    ProbeResult,
)
from cardamomtiller.ids import UpstreamId
from tests import forwarding_rig as rig

PORT = 1000
UPSTREAM = UpstreamId('u-1')
OTHER = UpstreamId('v-1')
RETRY_MS = DEFAULT_REACHABILITY.retry_ms


class SharedAddress:
    """An upstream with an open flow, and another one that may publish its address."""

    def __init__(self):
        """Open a flow of the only upstream."""
        self.forwarder = rig.make_forwarder((UPSTREAM,))
        self.token = rig.open_flow(self.forwarder, PORT)
        self.reachability = self.forwarder.observer.reachability
        self.entry = rig.entry(UPSTREAM)

    def share(self, now_ms, **changes):
        """Publish an entry of a later process with the same address."""
        values = {'service': rig.OTHER_SERVICES[0], 'incarnation': 2, **changes}
        address = self.entry.address
        self.forwarder.apply_entry(rig.entry(OTHER, address=address, **values), now_ms)

    def remove(self, now_ms):
        """Remove the entry of the upstream."""
        self.forwarder.remove_entry(UPSTREAM, now_ms)

    def lose_request(self, now_ms):
        """Send a request three times without an answer."""
        for delay_ms in (0, 200, 600):
            self.send(now_ms + delay_ms)

    def send(self, now_ms):
        """Send the request once more; return whether the flow is reset."""
        datagram = rig.packet(PORT, seq=101, ack=500, size=40, token=self.token)
        (delivery,) = rig.handle(self.forwarder, datagram, now_ms)
        return rig.is_reset(delivery)

    def answer(self, now_ms):
        """Acknowledge an answer, as the client does once it has one."""
        acknowledgement = rig.packet(PORT, seq=141, ack=900, token=self.token)
        rig.handle(self.forwarder, acknowledgement, now_ms)

    def probe(self, now_ms, result):
        """Apply the result of a probe that has to be due."""
        assert self.token in list(self.reachability.due_probes(now_ms)), now_ms
        self.forwarder.observer.handle_probe_result(self.token, result, now_ms)

    @property
    def state(self):
        """State of the path to the upstream."""
        return self.reachability.state(self.token)


@then('an entry with the address of a published upstream resets no flow of it')
def step_published(context):
    for incarnation in (0, 1, 2):
        shared = SharedAddress()
        shared.share(900, incarnation=incarnation)
        shared.lose_request(1000)
        for now_ms in range(1700, 6000, 100):
            if shared.token in list(shared.reachability.due_probes(now_ms)):
                shared.forwarder.observer.handle_probe_result(
                    shared.token, ProbeResult.CONNECTED, now_ms
                )
            assert not shared.send(now_ms), (incarnation, now_ms)


@then('the address of a published upstream is probed until the upstream responds')
def step_probed_again(context):
    shared = SharedAddress()
    shared.share(900)
    shared.lose_request(1000)
    for now_ms in (1700, 1700 + RETRY_MS, 1700 + 2 * RETRY_MS):
        shared.probe(now_ms, ProbeResult.CONNECTED)
        assert shared.state is PathState.SUSPECTED
    shared.answer(3000)
    assert shared.state is PathState.REACHABLE


@then('flows are reset once the entry is removed and another upstream has the address')
def step_removed(context):
    for is_removed_first in (True, False):
        shared = SharedAddress()
        shared.lose_request(1000)
        shared.probe(1700, ProbeResult.CONNECTED)
        steps = [shared.remove, shared.share]
        for step in steps if is_removed_first else reversed(steps):
            assert not shared.send(1750)
            step(1800)
        assert shared.send(2000)
    shared = SharedAddress()
    shared.share(900)
    shared.lose_request(1000)
    shared.probe(1700, ProbeResult.CONNECTED)
    shared.remove(1800)
    shared.probe(1700 + RETRY_MS, ProbeResult.CONNECTED)
    assert shared.state is PathState.UNREACHABLE


@then('an upstream that publishes its entry again is not taken as ended any longer')
def step_published_again(context):
    shared = SharedAddress()
    shared.share(900)
    shared.remove(950)
    shared.lose_request(1000)
    assert shared.send(1700)
    shared.forwarder.apply_entry(shared.entry._replace(sequence=7), 1800)
    assert shared.state is PathState.REACHABLE
    assert not shared.send(1900)


@then('a connection to a shared address does not clear an upstream that refused one')
def step_refused(context):
    shared = SharedAddress()
    shared.lose_request(1000)
    shared.probe(1700, ProbeResult.REFUSED)
    shared.share(1800)
    shared.probe(1700 + RETRY_MS, ProbeResult.CONNECTED)
    assert shared.state is PathState.UNREACHABLE
    assert shared.send(2300)


@then('a connection to a shared address clears an upstream whose probes timed out')
def step_timed_out(context):
    shared = SharedAddress()
    shared.lose_request(1000)
    shared.probe(1700, ProbeResult.TIMED_OUT)
    shared.probe(1700, ProbeResult.TIMED_OUT)
    assert shared.send(1750)
    shared.share(1800)
    shared.probe(1700 + RETRY_MS, ProbeResult.CONNECTED)
    assert not shared.send(2300)


@then(
    'an upstream that restarted at another address does not count as the user of the '
    'old one'
)
def step_moved(context):
    shared = SharedAddress()
    forwarder = shared.forwarder
    # The other one was here first, and starts again elsewhere under its id.
    shared.share(100, incarnation=0)
    forwarder.apply_entry(rig.entry(OTHER, 'patterns', incarnation=1), 200)
    elsewhere = ('10.0.9.9', 8000)
    moved = rig.entry(OTHER, 'patterns', address=elsewhere, incarnation=3)
    shared.share(300, incarnation=2)
    forwarder.apply_entry(moved, 400)
    # The entry of the upstream expires, as all may while the source is away.
    shared.remove(900)
    shared.lose_request(1000)
    shared.probe(1700, ProbeResult.CONNECTED)
    for now_ms in range(1800, 6000, 100):
        assert not shared.send(now_ms)
    earlier = shared.entry._replace(sequence=shared.entry.sequence + 1)
    assert not forwarder.directory.is_outdated(earlier)


@then(
    'an address that an upstream takes over for a moment has its former users after it'
)
def step_taken_over(context):
    shared = SharedAddress()
    directory = shared.forwarder.directory
    shared.share(100)
    third = rig.entry('w-1', address=shared.entry.address, incarnation=3)
    shared.forwarder.apply_entry(third, 200)
    moved = third._replace(address=('10.0.9.9', 8000), incarnation=4)
    shared.forwarder.apply_entry(moved, 300)
    shared.remove(900)
    upstream = directory.find(UPSTREAM)
    assert directory.is_superseded(upstream)
    assert directory.is_outdated(shared.entry)


def share_with_foreign_entry():
    """Return an upstream whose entry has expired while a foreign one has its address."""
    shared = SharedAddress()
    shared.share(900, service='unnamed')
    shared.remove(950)
    shared.lose_request(1000)
    return shared


@then(
    'an entry of a service that no configuration names resets no flow of an expired '
    'upstream'
)
def step_foreign_entry(context):
    shared = share_with_foreign_entry()
    shared.probe(1700, ProbeResult.CONNECTED)
    assert shared.state is PathState.REACHABLE
    assert not shared.send(1800)


@then('an upstream returns although a foreign entry has its address')
def step_foreign_return(context):
    shared = share_with_foreign_entry()
    assert not shared.forwarder.directory.is_outdated(shared.entry)


@then('a later configuration that names the service makes the entry count')
def step_named_later(context):
    shared = share_with_foreign_entry()
    shared.probe(1700, ProbeResult.CONNECTED)
    configuration = rig.configuration(2)
    named = configuration.services | {'unnamed'}
    shared.forwarder.apply_configuration(configuration._replace(services=named), 1750)
    assert shared.send(1800)
    shared.forwarder.apply_configuration(rig.configuration(3), 1850)
    assert shared.send(1900)
