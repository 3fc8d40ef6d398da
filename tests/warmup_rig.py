"""A fleet without a network, for the tests of the quota of upstreams in slow start."""

from bisect import bisect_left
from collections import defaultdict
from random import Random

from cardamomtiller.forwarding.fleet.membertable import DEFAULT_FLEET, MemberTable
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    Reachability,
)
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.published.configuration import ServiceLimits
from cardamomtiller.forwarding.published.upstreams import Upstream, token_of
from cardamomtiller.forwarding.warmup.gate import SlowStartGate
from cardamomtiller.forwarding.warmup.options import WarmupOptions
from tests import forwarding_rig as rig

STEP_MS = 100
NETWORK_MS = 100
LOSS = 0.05
SLACK = 1.0
WARMUP_MS = 3_600_000


def cold_upstream(quota):
    """Return an upstream in slow start whose service is named after its quota."""
    name = f'u-{quota}'
    cold = rig.entry(name, str(quota), 'd1', slow_start_left_ms=WARMUP_MS)
    return Upstream(cold, token_of(name), 0)


class Node:
    """An instance with its member table and gate, both empty after a start."""

    def __init__(self, member, fleet, now_ms):
        """Start an instance."""
        self.table = MemberTable(member, DEFAULT_FLEET)
        self.member = member
        self.started_ms = now_ms
        self.next_ms = now_ms + fleet.random.uniform(0, STEP_MS)
        self.gate = SlowStartGate(
            WarmupOptions(1.0, SLACK),
            Locality(member.domain, {}),
            Reachability(DEFAULT_REACHABILITY),
        )
        self.gate.apply_configuration(fleet.configuration)
        for upstream in (*fleet.warm_upstreams, *fleet.upstreams):
            self.gate.apply_entry(upstream, None, now_ms)


class Fleet:
    """Instances that exchange announcements and send as much as their gates admit."""

    def __init__(self, count, domains, quotas, seed=1):
        """Start all instances at once."""
        self.random = Random(seed)
        self.domains = [f'd{number}' for number in range(domains)]
        self.quotas = quotas
        self.upstreams = [cold_upstream(quota) for quota in quotas]
        # The directory names all failure domains, also while they are cut off.
        warm = [rig.entry(f'w-{domain}', domain=domain) for domain in self.domains]
        self.warm_upstreams = [Upstream(entry, 1, 0) for entry in warm]
        limits = {
            str(quota): ServiceLimits(warmup_ms=WARMUP_MS, warmup_per_s=quota - SLACK)
            for quota in quotas
        }
        self.configuration = rig.configuration()._replace(service_limits=limits)
        self.now_ms = 0
        self.nodes = {}
        self.side = defaultdict(int)
        self.arrivals = defaultdict(list)
        self.add(count)

    def add(self, count):
        """Start instances on further hosts."""
        for number in range(len(self.nodes), len(self.nodes) + count):
            host = f'10.{number % len(self.domains)}.{number // 250}.{number % 250}'
            domain = self.domains[number % len(self.domains)]
            member = Member(f'i-{number}', domain, host, 1.0 + number % 3)
            self.nodes[host] = Node(member, self, self.now_ms)

    def restart(self, share):
        """Kill some instances and start them again with empty tables."""
        for host in self.some(share):
            self.nodes[host] = Node(self.nodes[host].member, self, self.now_ms)

    def some(self, share):
        """Return the hosts of a random share of the instances."""
        return self.random.sample(sorted(self.nodes), int(share * len(self.nodes)))

    def split(self, hosts):
        """Cut the given hosts off from all others."""
        self.side = defaultdict(int, dict.fromkeys(hosts, 1))

    def run(self, duration_ms):
        """Let all instances announce themselves and send for a time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for node in self.nodes.values():
                self._announce(node)
                node.gate.update_members(
                    node.member, node.table.contacts(), self.now_ms
                )
                self._send(node)

    def _announce(self, node):
        if self.now_ms < node.next_ms:
            return
        age_ms = self.now_ms - node.started_ms
        node.next_ms += node.table.interval_ms(age_ms)
        node.table.expire(self.now_ms)
        is_alone = not node.table.peers()
        seeds = list(self.nodes)[:3]
        for host, domain in list(node.table.next_receivers(seeds, age_ms)):
            self._deliver(node, host, domain)
            if is_alone:
                self._deliver(self.nodes[host], node.member.host, node.member.domain)

    def _deliver(self, sender, host, domain):
        is_cut = self.side[sender.member.host] != self.side[host]
        if is_cut or host not in self.nodes or self.random.random() < LOSS:
            return
        announcement = sender.table.build_announcement(domain, self.now_ms)
        self.nodes[host].table.handle_announcement(announcement, self.now_ms)

    def _send(self, node):
        for upstream in self.upstreams:
            while node.gate.admits(upstream, self.now_ms):
                node.gate.record_placement(upstream, self.now_ms)
                delay_ms = self.random.uniform(0, NETWORK_MS)
                self.arrivals[upstream.entry.upstream].append(self.now_ms + delay_ms)

    def check(self):
        """Assert that no sliding second had more than its quota, and some had any."""
        for quota, upstream in zip(self.quotas, self.upstreams, strict=True):
            times_ms = sorted(self.arrivals[upstream.entry.upstream])
            assert times_ms, quota
            for first, time_ms in enumerate(times_ms):
                busy = bisect_left(times_ms, time_ms + 1000) - first
                assert busy <= quota, (quota, busy)
