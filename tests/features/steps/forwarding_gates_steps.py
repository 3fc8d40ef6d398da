"""Steps for the limits of single upstreams."""

from behave import then
from entries import FieldError, read_configuration
from settings import read_link, read_warmup

from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.placement.gates import GateSet, PlacementGate
from cardamomtiller.forwarding.published.configuration import ServiceLimits
from cardamomtiller.forwarding.routing.options import DEFAULT_ADMISSION
from cardamomtiller.forwarding.warmup.options import WarmupOptions
from tests import forwarding_rig as rig
from tests.platform_samples import ROUTE

MAX_AGE_MS = DEFAULT_ADMISSION.wait.max_age_ms


class ListGate(PlacementGate):
    """Admits the named upstreams."""

    def __init__(self, *names, is_mandatory=False):
        """Start with the admitted names."""
        self.names = set(names)
        self.is_mandatory = is_mandatory
        self.placed = []

    def admits(self, upstream, now_ms):
        """Return whether an upstream is named."""
        return upstream.entry.upstream in self.names

    def record_placement(self, upstream, now_ms):
        """Keep the name of the upstream."""
        self.placed.append(upstream.entry.upstream)


def gated_forwarder(gate):
    """Return a forwarder with three upstreams and one gate."""
    return rig.make_forwarder(('u-1', 'u-2', 'u-3'), gates=GateSet([gate]))


@then('a flow goes only to an upstream that every gate admits')
def step_admitted(context):
    gate = ListGate('u-2')
    forwarder = gated_forwarder(gate)
    for port in range(1000, 1010):
        assert len(rig.handle(forwarder, rig.opening(port), 0)) == 1
    assert gate.placed == ['u-2'] * 10


@then('an opening packet waits while no upstream is admitted, and leaves when one is')
def step_waits(context):
    gate = ListGate()
    forwarder = gated_forwarder(gate)
    assert not rig.handle(forwarder, rig.opening(1000), 0)
    assert not list(forwarder.release_waiting(10))
    gate.names.add('u-3')
    assert len(list(forwarder.release_waiting(20))) == 1
    assert gate.placed == ['u-3']


def overdue_delivery(gate):
    """Return what is sent for a packet that has waited for the longest time."""
    forwarder = gated_forwarder(gate)
    for copy, age_ms in enumerate(DEFAULT_ADMISSION.wait.copy_ages_ms):
        assert not rig.handle(forwarder, rig.opening(1000, copy), age_ms)
    (delivery,) = forwarder.release_waiting(MAX_AGE_MS)
    return delivery


@then('an overdue packet is forwarded although a gate refuses all upstreams')
def step_overdue(context):
    assert not rig.is_reset(overdue_delivery(ListGate()))


@then('it is reset if the gate is mandatory')
def step_mandatory(context):
    assert rig.is_reset(overdue_delivery(ListGate(is_mandatory=True)))


def configuration_with(service):
    """Return a configuration with one service row."""
    return read_configuration({'version': 1, 'routes': [ROUTE], 'services': [service]})


@then('the limits of each service are read, and 0 where it states none')
def step_limits(context):
    stated = {'max_connections': 2000, 'warmup_s': 2.5, 'warmup_per_s': 12}
    limits = configuration_with({'name': 'orders', **stated}).service_limits
    assert limits == {'orders': ServiceLimits(2000, 2500, 12)}
    limits = configuration_with({'name': 'orders'}).service_limits
    assert limits == {'orders': ServiceLimits(0, 0, 0)}


@then('a negative limit makes the configuration malformed')
def step_negative(context):
    try:
        configuration_with({'name': 'orders', 'warmup_per_s': -1})
    except FieldError:
        return
    raise AssertionError('a negative limit was accepted')


@then(
    'the settings without bounds on slow start, or without a link rate, ask for neither'
)
def step_settings(context):
    assert read_warmup({'warmup_overshoot': 1.5}) is None
    assert read_warmup({'warmup_overshoot': 1.5, 'warmup_slack': 5}) == WarmupOptions(
        1.5, 5
    )
    assert read_link({}) is None
    assert read_link({'link_mbps': 8}) == LinkOptions(bytes_per_ms=1000)
