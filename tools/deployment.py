"""Deployment of instances as processes on loopback, with stand-ins."""

import asyncio
import hashlib
import json
import signal
from collections import Counter
from collections.abc import Coroutine, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlencode

from cardamomtiller.identity import Endpoint
from tools.plan import DomainPlan, ScenarioPlan, ServicePlan
from tools.processes import LOOPBACK, Ports, Processes
from tools.standins.admin import call_admin

UPSTREAM_MODULE = 'tools.standins.upstream'
FABRIC_MODULE = 'tools.standins.fabric'
FAULTS_MODULE = 'tools.standins.faults'
PLATFORM_MODULE = 'tools.standins.platform'
INSTANCE_MODULE = 'cardamomtiller'
PROXIED_NETWORK = 'proxied'
READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 40
LOG_TAIL_CHARACTERS = 2000
# Delay between the start of a new instance and its publication as live, in which
# it reads the documents and the membership.
JOIN_DELAY_S = 1.0
# Delay between the publication of an instance as leaving and its stop signal.
LEAVE_DELAY_S = 1.0

# Short times, so that a whole scenario takes less than a minute. They replace the
# default settings; the settings in a scenario file take precedence.
SCENARIO_SETTINGS: Mapping[str, Mapping[str, str]] = {
    'source': {'watch_wait_ms': '5000', 'poll_interval_ms': '5000'},
    'log': {'level': 'INFO'},
}


@dataclass(slots=True)
class DeployedUpstream:
    """Addresses and published state of one upstream."""

    name: str
    service: ServicePlan
    domain: str
    address: Endpoint
    published_address: Endpoint
    stream_address: Endpoint
    admin_address: Endpoint
    state: str = 'live'


@dataclass(slots=True)
class DeployedInstance:
    """Addresses and published state of one instance."""

    name: str
    domain: DomainPlan
    peer_address: Endpoint
    published_address: Endpoint
    status_address: Endpoint
    datagram_addresses: Mapping[str, Endpoint]
    stream_addresses: Mapping[str, Endpoint]
    state: str = 'live'
    is_in_fabric: bool = True


@dataclass
class Deployment:
    """Processes and published documents of a deployment, with operations on them."""

    plan: ScenarioPlan
    folder: Path
    processes: Processes
    ports: Ports = field(default_factory=Ports)
    upstreams: dict[str, DeployedUpstream] = field(default_factory=dict)
    instances: dict[str, DeployedInstance] = field(default_factory=dict)
    service_addresses: dict[str, Endpoint] = field(default_factory=dict)
    stream_addresses: dict[str, Endpoint] = field(default_factory=dict)
    plans: dict[str, dict[str, str]] = field(default_factory=dict)
    last_numbers: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Allocate the addresses of all processes."""
        self.platform_address = self._allocate_endpoint()
        self.platform_admin_address = self._allocate_endpoint()
        self.fabric_admin_address = self._allocate_endpoint()
        self.faults_admin_address = self._allocate_endpoint()
        self.cluster_key = self.derive_secret('cluster')
        self.plans = {name: dict(values) for name, values in self.plan.plans.items()}
        for service in self.plan.services:
            self.service_addresses[service.name] = self._allocate_endpoint()
            self.stream_addresses[service.name] = self._allocate_endpoint()
        for domain in self.plan.domains:
            for service in self.plan.services:
                for _ in range(domain.upstreams.get(service.name, 0)):
                    self._add_upstream(domain, service)
            for _ in range(domain.instances):
                self._add_instance(domain, 'live')

    @property
    def execution_log(self) -> Path:
        """Return the file to which all upstreams write the starts and ends of runs."""
        return self.folder / 'executions.jsonl'

    def derive_secret(self, name: str) -> str:
        """Derive a key in hex digits from the seed and a name."""
        text = f'{self.plan.seed} {name}'
        return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()

    def _allocate_endpoint(self) -> Endpoint:
        return Endpoint(LOOPBACK, self.ports.allocate())

    def _uses_proxies(self) -> bool:
        return self.plan.network == PROXIED_NETWORK

    def _allocate_published(self, address: Endpoint) -> Endpoint:
        return self._allocate_endpoint() if self._uses_proxies() else address

    def _add_upstream(self, domain: DomainPlan, service: ServicePlan) -> None:
        number = self.last_numbers.get(service.name, 0) + 1
        self.last_numbers[service.name] = number
        name = f'{service.name}-u{number}'
        address = self._allocate_endpoint()
        self.upstreams[name] = DeployedUpstream(
            name=name,
            service=service,
            domain=domain.name,
            address=address,
            published_address=self._allocate_published(address),
            stream_address=self._allocate_endpoint(),
            admin_address=self._allocate_endpoint(),
        )

    def _add_instance(self, domain: DomainPlan, state: str) -> DeployedInstance:
        number = self.last_numbers.get(domain.name, 0) + 1
        self.last_numbers[domain.name] = number
        peer_address = self._allocate_endpoint()
        instance = DeployedInstance(
            name=f'{domain.name}-i{number}',
            domain=domain,
            peer_address=peer_address,
            published_address=self._allocate_published(peer_address),
            status_address=self._allocate_endpoint(),
            datagram_addresses={
                name: self._allocate_endpoint() for name in self.service_addresses
            },
            stream_addresses={
                name: self._allocate_endpoint() for name in self.service_addresses
            },
            state=state,
            is_in_fabric=state == 'live',
        )
        self.instances[instance.name] = instance
        return instance

    # Documents

    def documents(self) -> Iterator[tuple[str, str]]:
        """Yield the name and text of each document."""
        yield (
            'plans',
            _format_ini(
                (f'plan {name}', values) for name, values in self.plans.items()
            ),
        )
        yield (
            'customers',
            _format_ini(
                (f'customer {name}', {'plan': plan, 'secret': self.derive_secret(name)})
                for name, plan in self.plan.customers.items()
            ),
        )
        key = {'secret': self.derive_secret('sealing key'), 'state': 'current'}
        yield 'keys', _format_ini([('key 1', key)])
        first_customer = next(iter(self.plan.customers))
        yield (
            'services',
            _format_ini(
                (
                    f'service {name}',
                    {
                        'datagram_addresses': str(address),
                        'stream_addresses': str(self.stream_addresses[name]),
                        'stream_customer': first_customer,
                    },
                )
                for name, address in self.service_addresses.items()
            ),
        )
        for domain in self.plan.domains:
            yield f'upstreams.{domain.name}', self.upstreams_document(domain)
            yield f'instances.{domain.name}', self.instances_document(domain)

    def upstreams_document(self, domain: DomainPlan) -> str:
        """Return the document with the upstreams of a failure domain."""
        return _format_ini(
            [
                ('domain', {'region': domain.region}),
                *(
                    (
                        f'upstream {upstream.name}',
                        {
                            'service': upstream.service.name,
                            'address': str(upstream.published_address),
                            'stream_address': str(upstream.stream_address),
                            'slots': str(upstream.service.slots),
                            'state': upstream.state,
                        },
                    )
                    for upstream in self.upstreams.values()
                    if upstream.domain == domain.name
                ),
            ]
        )

    def instances_document(self, domain: DomainPlan) -> str:
        """Return the document with the instances of a failure domain."""
        return _format_ini(
            [
                ('domain', {'region': domain.region}),
                *(
                    (
                        f'instance {instance.name}',
                        {
                            'peer_address': str(instance.published_address),
                            'state': instance.state,
                        },
                    )
                    for instance in self.instances.values()
                    if instance.domain.name == domain.name
                ),
            ]
        )

    def render_settings(self, instance: DeployedInstance) -> str:
        """Return the text of the settings file of an instance."""
        seeds = [
            str(other.published_address)
            for other in self.instances.values()
            if other.name != instance.name
        ][:3]
        sections: dict[str, dict[str, str]] = {
            'instance': {
                'name': instance.name,
                'region': instance.domain.region,
                'failure_domain': instance.domain.name,
                'peer_address': str(instance.peer_address),
                'status_address': str(instance.status_address),
                'cluster_key': self.cluster_key,
            },
            'source': {
                'url': f'http://{self.platform_address}',
                'seed_peers': ','.join(seeds),
            },
            'entrance': {
                'datagram_addresses': _format_addresses(instance.datagram_addresses),
                'stream_addresses': _format_addresses(instance.stream_addresses),
            },
        }
        for overrides in (SCENARIO_SETTINGS, self.plan.settings):
            for section, values in overrides.items():
                sections.setdefault(section, {}).update(values)
        return _format_ini(sections.items())

    # Start

    async def start(self) -> None:
        """Start the stand-ins, wait until they listen, and start the instances."""
        self._start_platform()
        self._start_fabric()
        if self._uses_proxies():
            self.processes.start(
                'faults',
                FAULTS_MODULE,
                f'--admin={self.faults_admin_address}',
                f'--seed={self.plan.seed}',
            )
        for upstream in self.upstreams.values():
            self.start_upstream(upstream)
        await self._wait_for_standins()
        if self._uses_proxies():
            await self._configure_proxies()
        for instance in self.instances.values():
            await self.start_instance(instance)
        await self._label_instances()
        await self.set_latencies()
        await self.update_fabric()

    def _start_platform(self) -> None:
        lists = self.folder / 'lists'
        lists.mkdir()
        for name, text in self.documents():
            (lists / f'{name}.ini').write_text(text)
        self.processes.start(
            'platform',
            PLATFORM_MODULE,
            f'--listen={self.platform_address}',
            f'--admin={self.platform_admin_address}',
            f'--directory={lists}',
        )

    def _start_fabric(self) -> None:
        arguments = [f'--admin={self.fabric_admin_address}', f'--seed={self.plan.seed}']
        for name, address in self.service_addresses.items():
            arguments.append(f'--service={name}={address}')
            arguments.append(f'--stream={name}={self.stream_addresses[name]}')
        self.processes.start('fabric', FABRIC_MODULE, *arguments)

    def start_upstream(self, upstream: DeployedUpstream) -> None:
        """Start the process of an upstream."""
        service = upstream.service
        self.processes.start(
            upstream.name,
            UPSTREAM_MODULE,
            f'--name={upstream.name}',
            f'--service={service.name}',
            f'--listen={upstream.address}',
            f'--stream-listen={upstream.stream_address}',
            f'--slots={service.slots}',
            f'--admin={upstream.admin_address}',
            f'--push-interval-ms={service.push_interval_ms}',
            f'--cold-ms={service.cold_ms}',
            f'--seed={self.plan.seed}',
            f'--execution-log={self.execution_log}',
        )

    async def start_instance(self, instance: DeployedInstance) -> None:
        """Write the settings file of an instance and start its process."""
        path = self.folder / f'{instance.name}.ini'
        path.write_text(self.render_settings(instance))
        self.processes.start(
            instance.name, INSTANCE_MODULE, 'run', '--settings', str(path)
        )
        if self._uses_proxies():
            pid = self.processes.running[instance.name].pid
            label = instance_label(instance)
            await self._configure_faults({'processes': {str(pid): label}})

    async def _wait_for_standins(self) -> None:
        admin_addresses = [self.platform_admin_address, self.fabric_admin_address]
        admin_addresses += [
            upstream.admin_address for upstream in self.upstreams.values()
        ]
        if self._uses_proxies():
            admin_addresses.append(self.faults_admin_address)
        for admin_address in admin_addresses:
            await wait_for_listener(admin_address, READY_TIMEOUT_S)

    async def wait_ready(self, names: list[str] | None = None) -> None:
        """
        Wait until the status endpoints of instances accept connections.

        Raises
        ------
        RuntimeError
            If an instance has exited; the message holds the end of its log.
        """
        for name in names or list(self.instances):
            wait_task = asyncio.create_task(
                wait_for_listener(self.instances[name].status_address, READY_TIMEOUT_S)
            )
            while not wait_task.done():
                await asyncio.wait((wait_task,), timeout=0.2)
                if self.processes.running[name].poll() is not None:
                    wait_task.cancel()
                    log = self.processes.read_log(name)[-LOG_TAIL_CHARACTERS:]
                    raise RuntimeError(f'{name} has exited:\n{log}')
            await wait_task

    async def _configure_proxies(self) -> None:
        entries = [
            _make_proxy_entry(
                upstream_label(process),
                process.published_address,
                process.address,
                ['tcp'],
            )
            for process in self.upstreams.values()
        ]
        entries += [
            self._make_instance_proxy(process) for process in self.instances.values()
        ]
        await self._configure_faults({'proxies': entries})

    def _make_instance_proxy(self, instance: DeployedInstance) -> dict[str, object]:
        return _make_proxy_entry(
            instance_label(instance),
            instance.published_address,
            instance.peer_address,
            ['udp', 'tcp'],
        )

    async def _configure_faults(self, configuration: object) -> None:
        body = json.dumps(configuration).encode()
        await call_admin(self.faults_admin_address, 'POST', '/configure', body)

    async def _label_instances(self) -> None:
        for instance in self.instances.values():
            await self._label_instance(instance)

    async def _label_instance(self, instance: DeployedInstance) -> None:
        for address in (
            *instance.datagram_addresses.values(),
            *instance.stream_addresses.values(),
        ):
            query = urlencode(
                {'address': str(address), 'label': instance_label(instance)}
            )
            await call_admin(self.fabric_admin_address, 'POST', f'/label?{query}')

    async def set_latencies(self) -> None:
        """Set the latencies of the scenario on the paths."""
        if self.plan.to_callers_ms:
            await self.set_rule('fabric', 'latency', delay_ms=self.plan.to_callers_ms)
        if not self._uses_proxies() or not self.plan.between_domains_ms:
            return
        for source in self.plan.domains:
            for target in self.plan.domains:
                if source.name != target.name:
                    await self.set_rule(
                        'faults',
                        f'latency {source.name} {target.name}',
                        source=f'{source.name}/*',
                        target=f'{target.name}/*',
                        delay_ms=self.plan.between_domains_ms,
                    )

    # Operations

    async def publish(self, name: str, text: str) -> int:
        """Publish the next version of a document; return the version."""
        body = json.dumps({'name': name, 'text': text}).encode()
        answer = await call_admin(self.platform_admin_address, 'POST', '/publish', body)
        return int(answer['version']) if isinstance(answer, dict) else 0

    async def set_platform(self, *, is_down: bool) -> None:
        """Start or end an outage of the configuration service."""
        body = json.dumps({'absent': is_down}).encode()
        await call_admin(self.platform_admin_address, 'POST', '/faults', body)

    async def publish_domain(self, name: str) -> None:
        """Publish the instances and upstreams of a failure domain again."""
        domain = next(plan for plan in self.plan.domains if plan.name == name)
        await self.publish(f'instances.{name}', self.instances_document(domain))
        await self.publish(f'upstreams.{name}', self.upstreams_document(domain))

    async def publish_instances(self, domain: DomainPlan) -> None:
        """Publish the instances of a failure domain again."""
        await self.publish(f'instances.{domain.name}', self.instances_document(domain))

    async def update_fabric(self) -> None:
        """Send the addresses of the current instances to the fabric."""
        instances = [
            instance for instance in self.instances.values() if instance.is_in_fabric
        ]
        for service in self.service_addresses:
            datagram_addresses = (
                ','.join(
                    str(instance.datagram_addresses[service]) for instance in instances
                )
                or '-'
            )
            stream_addresses = (
                ','.join(
                    str(instance.stream_addresses[service]) for instance in instances
                )
                or '-'
            )
            query = urlencode(
                {
                    'service': service,
                    'datagram': datagram_addresses,
                    'stream': stream_addresses,
                }
            )
            await call_admin(self.fabric_admin_address, 'POST', f'/instances?{query}')

    async def update_fabric_delayed(self) -> None:
        """Update the fabric with the delay that a real platform would have."""
        await asyncio.sleep(self.plan.fabric_lag_ms / 1000)
        await self.update_fabric()

    def start_task(
        self, coroutine: Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine in the background, with a reference that keeps its task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        return task

    async def set_rule(self, proxy: str, name: str, **values: object) -> None:
        """Set a rule of the fabric or of the faulty network."""
        query = urlencode({'name': name, **values})
        await call_admin(self._find_admin_address(proxy), 'POST', f'/rule?{query}')

    async def clear_rule(self, proxy: str, name: str) -> None:
        """Remove a rule."""
        query = urlencode({'name': name})
        await call_admin(self._find_admin_address(proxy), 'POST', f'/clear?{query}')

    def _find_admin_address(self, proxy: str) -> Endpoint:
        return {
            'fabric': self.fabric_admin_address,
            'faults': self.faults_admin_address,
        }[proxy]

    async def set_upstream(self, name: str, **values: object) -> None:
        """Change the behaviour of an upstream."""
        admin_address = self.upstreams[name].admin_address
        await call_admin(admin_address, 'POST', f'/set?{urlencode(values)}')

    async def kill_instance(self, name: str) -> None:
        """Kill an instance; the fabric is updated with a delay."""
        self.processes.kill(name)
        self.instances[name].is_in_fabric = False
        self.start_task(self.update_fabric_delayed())

    async def join_instance(self, domain_name: str) -> str:
        """Start an additional instance in a failure domain; return its name."""
        domain = next(plan for plan in self.plan.domains if plan.name == domain_name)
        instance = self._add_instance(domain, 'joining')
        if self._uses_proxies():
            await self._configure_faults(
                {'proxies': [self._make_instance_proxy(instance)]}
            )
        await self._label_instance(instance)
        await self.publish_instances(domain)
        await self.start_instance(instance)
        await self.wait_ready([instance.name])
        await asyncio.sleep(JOIN_DELAY_S)
        instance.state = 'live'
        instance.is_in_fabric = True
        await self.publish_instances(domain)
        await self.update_fabric()
        return instance.name

    async def stop_instance(self, name: str) -> int | None:
        """Publish an instance as leaving, stop and remove it; return the exit code."""
        instance = self.instances[name]
        instance.state = 'leaving'
        await self.publish_instances(instance.domain)
        await asyncio.sleep(LEAVE_DELAY_S)
        instance.is_in_fabric = False
        self.processes.send_signal(name, signal.SIGTERM)
        self.start_task(self.update_fabric_delayed())
        exit_code = await self.processes.wait(name, STOP_TIMEOUT_S)
        if exit_code is None:
            self.processes.kill(name)
        await self.remove_instance(name)
        return exit_code

    async def remove_instance(self, name: str) -> None:
        """Remove an instance from the published list and the fabric."""
        instance = self.instances.pop(name)
        await self.publish_instances(instance.domain)
        await self.update_fabric()

    async def replace_instance(self, name: str) -> str:
        """Start a replacement, then stop the instance; return the new name."""
        new_name = await self.join_instance(self.instances[name].domain.name)
        await self.stop_instance(name)
        return new_name

    async def drain_upstream(self, name: str) -> None:
        """Drain an upstream over its links and publish it as leaving."""
        await self.set_upstream(name, drain=1)
        upstream = self.upstreams[name]
        upstream.state = 'leaving'
        await self.publish_domain(upstream.domain)

    async def restart_upstream(self, name: str) -> None:
        """Kill an upstream and start it again; it gets a new incarnation."""
        self.processes.kill(name)
        self.start_upstream(self.upstreams[name])

    async def partition(self, domains: list[str], other_domains: list[str]) -> None:
        """Cut all paths between two groups of failure domains."""
        for domain in domains:
            for other_domain in other_domains:
                for source, target in ((domain, other_domain), (other_domain, domain)):
                    await self.set_rule(
                        'faults',
                        f'partition {source} {target}',
                        source=f'{source}/*',
                        target=f'{target}/*',
                        cut=1,
                    )

    async def heal(self) -> None:
        """Remove all fault rules, except for the latencies of the scenario."""
        await self.clear_rule('faults', '')
        await self.clear_rule('fabric', '')
        await self.set_latencies()

    async def fetch_status(self, name: str, path: str = '/status') -> object:
        """Return a status page of an instance, or None if the request fails."""
        try:
            return await call_admin(self.instances[name].status_address, 'GET', path)
        except (OSError, EOFError, ValueError, TimeoutError):
            return None

    async def fetch_stream_bytes(self) -> dict[str, int]:
        """Return the stream bytes by source and target; empty without proxies."""
        if not self._uses_proxies():
            return {}
        answer = await call_admin(self.faults_admin_address, 'GET', '/stats')
        bytes_by_path = answer['stream_bytes'] if isinstance(answer, dict) else {}
        return {str(path): int(size) for path, size in bytes_by_path.items()}

    async def find_flows_opened_twice(self) -> list[str]:
        """Return the ids of flows that were opened on more than one upstream."""
        upstream_counts: Counter[str] = Counter()
        for name, upstream in self.upstreams.items():
            if name in self.processes.running:
                answer = await call_admin(upstream.admin_address, 'GET', '/opened')
                upstream_counts.update(answer if isinstance(answer, list) else [])
        return [flow for flow, count in upstream_counts.items() if count > 1]

    async def fetch_upstream_stats(self) -> dict[str, dict[str, object]]:
        """Return the statistics of every upstream that answers."""
        stats: dict[str, dict[str, object]] = {}
        for name, upstream in self.upstreams.items():
            try:
                answer = await call_admin(upstream.admin_address, 'GET', '/stats')
            except (OSError, EOFError, TimeoutError):
                continue
            if isinstance(answer, dict):
                stats[name] = answer
        return stats


def instance_label(instance: DeployedInstance) -> str:
    """Return the label of an instance in rules."""
    return f'{instance.domain.name}/{instance.name}'


def upstream_label(upstream: DeployedUpstream) -> str:
    """Return the label of an upstream in rules."""
    return f'{upstream.domain}/{upstream.name}'


async def wait_for_listener(address: Endpoint, timeout_s: float) -> None:
    """
    Wait until a TCP port accepts connections.

    Raises
    ------
    TimeoutError
        If the port does not accept connections in time.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection(*address.as_pair())
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                return


def _make_proxy_entry(
    label: str, listen: Endpoint, target: Endpoint, kinds: list[str]
) -> dict[str, object]:
    return {
        'label': label,
        'listen': str(listen),
        'target': str(target),
        'kinds': kinds,
    }


def _format_addresses(addresses: Mapping[str, Endpoint]) -> str:
    return ', '.join(f'{name}={address}' for name, address in addresses.items())


def _format_ini(sections: Iterable[tuple[str, Mapping[str, str]]]) -> str:
    lines: list[str] = []
    for title, values in sections:
        lines.append(f'[{title}]')
        lines += [f'{key} = {value}' for key, value in values.items()]
        lines.append('')
    return '\n'.join(lines)
