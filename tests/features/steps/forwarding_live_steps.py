"""Steps for real instances, with stand-ins for the other components."""

import os
import signal
import socket
import time
from collections import Counter
from random import Random

from behave import given, then

from cardamomtiller.forwarding.published.upstreams import token_of
from tests import forwarding_rig as rig
from tools.packet_deployment import Deployment
from tools.packet_soak import Soak
from tools.packet_traffic import PACKET_PORT, UPSTREAM_PORT, TrafficStandins, Upstream

SUBNET = 81
PAUSE_SUBNET = 82
RESTORE_SUBNET = 83
PROBE_SUBNET = 84
LINK_SUBNET = 93
PROBES = 200
SOAK_SEED = 7
SOAK_S = 6
# Time within which the platform requires a change to be in force.
CHANGE_S = 3.0
# Interval of the settings check, with a margin for a busy machine.
SETTINGS_S = 3.0
METRICS_PORT = 9402


@given('a deployment of 4 instances and 6 upstreams')
def step_deployment(context):
    deployment = Deployment({'a': 2, 'b': 2}, {'orders': 4, 'patterns': 2}, SUBNET)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    context.deployment = deployment


def count_outcomes(deployment, port, count=40):
    """Count the outcomes of ``count`` requests, each on a separate flow."""
    requests = [deployment.traffic.start_request(port) for _ in range(count)]
    deadline_s = time.monotonic() + 4
    while time.monotonic() < deadline_s and not all(
        request.outcome for request in requests
    ):
        time.sleep(0.05)
    return Counter(request.outcome for request in requests)


def log_rows_of(deployment):
    """Return the log lines of all instances."""
    return [row for host in deployment.hosts for row in deployment.log_rows(host)]


@then('requests succeed on all routes')
def step_requests(context):
    for port, service in context.deployment.routes.items():
        assert count_outcomes(context.deployment, port) == {'done': 40}
        used = [
            upstream
            for upstream in context.deployment.upstreams
            if upstream.service == service
        ]
        assert all(upstream.run_counts for upstream in used)
    assert not any(
        upstream.misdirected_packets for upstream in context.deployment.upstreams
    )


@then('an instance that is killed and restarted serves again')
def step_killed(context):
    deployment = context.deployment
    host = next(iter(deployment.hosts))
    deployment.processes[host].kill()
    deployment.processes[host].wait()
    deployment.start(host)
    deployment.wait_until_ready()
    assert count_outcomes(deployment, 443) == {'done': 40}


@then('an instance that receives a stop signal forwards until it exits')
def step_stopped(context):
    deployment = context.deployment
    host = list(deployment.hosts)[1]
    deployment.signal(host, signal.SIGTERM)
    time.sleep(0.3)
    assert deployment.status(host) == 503
    assert count_outcomes(deployment, 443) == {'done': 40}
    assert deployment.processes[host].wait(5) == 0
    deployment.start(host)
    deployment.wait_until_ready()


@then('a draining upstream receives no new flows')
def step_drained(context):
    deployment = context.deployment
    upstream = deployment.upstreams[0]
    deployment.drain(upstream.name)
    time.sleep(CHANGE_S)
    opens_before_requests = len(upstream.opens)
    assert count_outcomes(deployment, 443) == {'done': 40}
    assert len(upstream.opens) == opens_before_requests


@then('clients of a failed upstream are reset and served by others')
def step_failed_upstream(context):
    deployment = context.deployment
    traffic = deployment.traffic
    flows = [traffic.start_request(443) for _ in range(40)]
    time.sleep(1)
    failed_upstream = deployment.upstreams[1]
    token = token_of(failed_upstream.name)
    affected_flows = [
        flow for flow in flows if flow.outcome == 'done' and flow.token == token
    ]
    assert affected_flows
    traffic.fail_upstream(failed_upstream.name)
    repeated = [traffic.start_request(443, flow) for flow in affected_flows]
    time.sleep(2.5)
    assert {request.outcome for request in repeated} == {'refused'}
    assert count_outcomes(deployment, 443) == {'done': 40}
    assert not traffic.live_flow_resets


@then('an added route serves and an unknown route is refused')
def step_routes(context):
    deployment = context.deployment
    assert count_outcomes(deployment, 4999, 5) == {'refused': 5}
    deployment.publish_configuration(4999)
    time.sleep(CHANGE_S)
    assert count_outcomes(deployment, 4999) == {'done': 40}


@then('a change of the settings file or a hang-up signal ends no process')
def step_reload(context):
    deployment = context.deployment
    for host in deployment.hosts:
        deployment.signal(host, signal.SIGHUP)
    time.sleep(0.3)
    assert all(process.poll() is None for process in deployment.processes.values())
    reloads = [row for row in log_rows_of(deployment) if row['event'] == 'reloaded']
    assert len(reloads) == len(deployment.hosts)
    first, *_ = deployment.hosts
    deployment.change_settings(first, {'seeds': ['127.9.9.9:8166']})
    time.sleep(SETTINGS_S)
    reloads = [row for row in log_rows_of(deployment) if row['event'] == 'reloaded']
    assert [row['seeds'] for row in reloads].count('127.9.9.9') == 1
    assert len(reloads) == len(deployment.hosts) + 1
    deployment.change_settings(first, {'seeds': 7})
    time.sleep(SETTINGS_S)
    assert any(row['event'] == 'reload_failed' for row in log_rows_of(deployment))
    assert all(process.poll() is None for process in deployment.processes.values())
    deployment.change_settings(first, {})


@then('the metrics page shows the counters and histograms')
def step_metrics(context):
    deployment = context.deployment
    host = next(iter(deployment.hosts))
    deadline_s = time.monotonic() + 5
    page = b''
    while b' 200 ' not in page[:15] and time.monotonic() < deadline_s:
        page = deployment.fetch(host, METRICS_PORT, '/metrics')
        time.sleep(0.1)
    assert b'cardamomtiller_opens_forwarded_total' in page
    assert b'cardamomtiller_request_ms_bucket{le="5.0"}' in page


@then('the log explains each placement and reset')
def step_log(context):
    rows = log_rows_of(context.deployment)
    assert not any(row['event'] == 'defect' for row in rows)
    placed = [row for row in rows if row['event'] == 'flow_placed']
    needed = {'flow', 'upstream', 'configuration', 'entry_age_ms', 'candidates', 'cost'}
    assert placed and all(needed <= row.keys() for row in placed)
    reset = [row for row in rows if row['event'] == 'flow_reset']
    assert reset and all(row['reason'] == 'unreachable' for row in reset)


@then('a log that is not read does not block, and counts the dropped lines')
def step_unread_log(context):
    reader, writer = os.pipe()
    log = rig.DecisionLog('test', rig.LogOptions(10_000, 10, 50), lambda: 0.0)
    os.set_blocking(writer, False)
    started_s = time.monotonic()
    for number in range(20_000):
        log.write('flow_placed', number / 100, flow='x' * 100)
        if number % 10 == 0:
            log.flush(writer)
    assert time.monotonic() - started_s < 5
    assert log.suppressed > 10_000
    os.read(reader, 1 << 20)
    log.flush(writer)
    log.flush(writer)
    log.write('flow_placed', 1_000_000)
    log.flush(writer)
    assert b'log_suppressed' in os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)


@then('a flood of routine lines does not displace milestone lines')
def step_displaced_milestone(context):
    log = rig.DecisionLog('test', rig.LogOptions(100, 10, 1000), lambda: 0.0)
    for _ in range(5000):
        log.write('upstream_entry', 1000)
    for _ in range(11):
        log.write_milestone('serving', 1000)
    reader, writer = os.pipe()
    log.flush(writer)
    lines = os.read(reader, 1 << 20).splitlines()
    os.close(reader)
    os.close(writer)
    assert sum(b'"serving"' in line for line in lines) == 10
    assert sum(b'"upstream_entry"' in line for line in lines) == 100
    assert log.suppressed == 4901


@then('clients of one of them are reset when it fails, and no other flow is reset')
def step_duplicate_opens(context):
    deployment = Deployment({'a': 1}, {'orders': 4}, PAUSE_SUBNET)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    traffic = deployment.traffic
    (host,) = deployment.hosts
    deployment.signal(host, signal.SIGSTOP)
    flows = [traffic.start_request(443) for _ in range(40)]
    time.sleep(0.9)
    deployment.signal(host, signal.SIGCONT)
    time.sleep(1)
    assert {flow.outcome for flow in flows} == {'done'}
    failed_upstream = deployment.upstreams[0]
    affected_flows = [
        flow for flow in flows if flow.token == token_of(failed_upstream.name)
    ]
    traffic.fail_upstream(failed_upstream.name)
    repeated = [traffic.start_request(443, flow) for flow in affected_flows]
    time.sleep(2.5)
    assert {request.outcome for request in repeated} == {'refused'}
    assert not traffic.live_flow_resets
    assert traffic.duplicate_flow_resets


@then('a seeded soak breaks no guarantee')
def step_soak(context):
    findings = Soak(SOAK_SEED, SOAK_S).run()
    assert not findings.broken, (findings.broken, findings.events)


@then('instances that restart in turn keep what the older copy of the store lacks')
def step_restart_after_restore(context):
    deployment = Deployment({'a': 2}, {'orders': 3}, RESTORE_SUBNET)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    draining = deployment.upstreams[0]
    copy = deployment.store.copy()
    deployment.publish_configuration(4999)
    deployment.drain(draining.name)
    time.sleep(CHANGE_S)
    deployment.store.restore(copy)
    for host in deployment.hosts:
        time.sleep(CHANGE_S)
        deployment.processes[host].kill()
        deployment.processes[host].wait()
        deployment.start(host)
        deployment.wait_until_ready()
        time.sleep(CHANGE_S)
        deployment.traffic.instance_hosts = [host]
        opens_before_requests = len(draining.opens)
        assert count_outcomes(deployment, 4999) == {'done': 40}
        assert len(draining.opens) == opens_before_requests


def connects(host):
    """Return whether an upstream accepts a connection within a probe's timeout."""
    try:
        socket.create_connection((host, UPSTREAM_PORT), timeout=0.25).close()
    except OSError:
        return False
    return True


@then('a stand-in upstream accepts many connections, and none after it failed')
def step_probed(context):
    upstream = Upstream('i-00000001', 'orders', 'a', f'127.{PROBE_SUBNET}.2.1')
    traffic = TrafficStandins(f'127.{PROBE_SUBNET}.1.1', [upstream])
    context.add_cleanup(traffic.close)
    # A thread that does not get to run accepts nothing for a while.
    with traffic.paused():
        assert all(connects(upstream.host) for _ in range(PROBES))
    assert all(connects(upstream.host) for _ in range(PROBES))
    traffic.fail_upstream(upstream.name)
    assert not connects(upstream.host)


def send_window(deployment, first, numbers):
    """Send packets of a flow in an order; return when and in which order they arrive."""
    (host,) = deployment.hosts
    (upstream,) = deployment.upstreams
    token = token_of(upstream.name)
    arrivals = []

    def record(_upstream, datagram, _sender):
        packet = rig.HeaderFormat().decode(datagram[rig.FRAME_BYTES :])
        assert packet is not None and packet.payload_bytes == 1200
        arrivals.append((time.monotonic(), (packet.sequence - first) // 1200))

    deployment.traffic._handle_at_upstream = record
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        for number in numbers:
            sequence = first + number * 1200
            datagram = rig.packet(999, seq=sequence, ack=500, size=1200, token=token)
            client.sendto(datagram, (host, PACKET_PORT))
    deadline_s = time.monotonic() + 5
    while len(arrivals) < len(numbers) and time.monotonic() < deadline_s:
        time.sleep(0.01)
    return arrivals


@then('a window leaves at the rate of the link and in order, and its bytes are intact')
def step_window(context):
    deployment = Deployment({'a': 1}, {'orders': 1}, LINK_SUBNET, link_mbps=2.4)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    numbers = list(range(16))
    durations_ms = []
    for window in range(5):
        Random(window).shuffle(numbers)
        arrivals = send_window(deployment, 101 + window * 16 * 1200, numbers)
        order = [number for _, number in arrivals]
        assert sorted(order) == list(range(16)), order
        # What has arrived before the process looks is sent at once, three packets.
        assert order[3:] == sorted(order[3:]), order
        durations_ms.append(1000 * (arrivals[-1][0] - arrivals[0][0]))
        time.sleep(0.1)
    # 16 kB in less than 40 ms overflow the link, and clients repeat after 200 ms. The
    # best window counts for the upper bound: a busy machine delays the process.
    assert min(durations_ms) > 40, durations_ms
    assert min(durations_ms) < 200, durations_ms
