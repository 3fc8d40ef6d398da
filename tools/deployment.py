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
PROXIED = 'proxied'
READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 40
LOG_TAIL = 2000
# Delay between the start of a new instance and its publication as live, in which
# it reads the documents and the membership.
JOIN_S = 1.0
# Delay between the publication of an instance as leaving and its stop signal.
LEAVE_S = 1.0

# Short times, so that a whole scenario takes less than a minute. They replace the
# default settings; the settings in a scenario file take precedence.
SCENARIO_SETTINGS: Mapping[str, Mapping[str, str]] = {
    'source': {'watch_wait_ms': '5000', 'poll_interval_ms': '5000'},
    'log': {'level': 'INFO'},
}


@dataclass(slots=True)
class Upstream:
    """Addresses and published state of one upstream."""

    name: str
    service: ServicePlan
    domain: str
    address: Endpoint
    published: Endpoint
    stream: Endpoint
    admin: Endpoint
    state: str = 'live'


@dataclass(slots=True)
class Instance:
    """Addresses and published state of one instance."""

    name: str
    domain: DomainPlan
    peer: Endpoint
    published: Endpoint
    status: Endpoint
    datagram: Mapping[str, Endpoint]
    stream: Mapping[str, Endpoint]
    state: str = 'live'
    is_sprayed: bool = True


@dataclass
class Deployment:
    """Processes and published documents of a deployment, with operations on them."""

    plan: ScenarioPlan
    folder: Path
    processes: Processes
    ports: Ports = field(default_factory=Ports)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    services: dict[str, Endpoint] = field(default_factory=dict)
    streams: dict[str, Endpoint] = field(default_factory=dict)
    plans: dict[str, dict[str, str]] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Allocate the addresses of all processes."""
        self.platform = self._endpoint()
        self.platform_admin = self._endpoint()
        self.fabric_admin = self._endpoint()
        self.faults_admin = self._endpoint()
        self.cluster_key = self.secret('cluster')
        self.plans = {name: dict(row) for name, row in self.plan.plans.items()}
        for service in self.plan.services:
            self.services[service.name] = self._endpoint()
            self.streams[service.name] = self._endpoint()
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

    def secret(self, name: str) -> str:
        """Derive a key in hex digits from the seed and a name."""
        text = f'{self.plan.seed} {name}'
        return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()

    def _endpoint(self) -> Endpoint:
        return Endpoint(LOOPBACK, self.ports.allocate())

    def _is_proxied(self) -> bool:
        return self.plan.network == PROXIED

    def _published(self, address: Endpoint) -> Endpoint:
        return self._endpoint() if self._is_proxied() else address

    def _add_upstream(self, domain: DomainPlan, service: ServicePlan) -> None:
        number = self.numbers.get(service.name, 0) + 1
        self.numbers[service.name] = number
        name = f'{service.name}-u{number}'
        address = self._endpoint()
        self.upstreams[name] = Upstream(
            name=name,
            service=service,
            domain=domain.name,
            address=address,
            published=self._published(address),
            stream=self._endpoint(),
            admin=self._endpoint(),
        )

    def _add_instance(self, domain: DomainPlan, state: str) -> Instance:
        number = self.numbers.get(domain.name, 0) + 1
        self.numbers[domain.name] = number
        peer = self._endpoint()
        instance = Instance(
            name=f'{domain.name}-i{number}',
            domain=domain,
            peer=peer,
            published=self._published(peer),
            status=self._endpoint(),
            datagram={name: self._endpoint() for name in self.services},
            stream={name: self._endpoint() for name in self.services},
            state=state,
            is_sprayed=state == 'live',
        )
        self.instances[instance.name] = instance
        return instance

    # Documents

    def documents(self) -> Iterator[tuple[str, str]]:
        """Yield the name and text of each document."""
        yield 'plans', _ini((f'plan {name}', row) for name, row in self.plans.items())
        yield (
            'customers',
            _ini(
                (f'customer {name}', {'plan': plan, 'secret': self.secret(name)})
                for name, plan in self.plan.customers.items()
            ),
        )
        key = {'secret': self.secret('sealing key'), 'state': 'current'}
        yield 'keys', _ini([('key 1', key)])
        first_customer = next(iter(self.plan.customers))
        yield (
            'services',
            _ini(
                (
                    f'service {name}',
                    {
                        'datagram_addresses': str(address),
                        'stream_addresses': str(self.streams[name]),
                        'stream_customer': first_customer,
                    },
                )
                for name, address in self.services.items()
            ),
        )
        for domain in self.plan.domains:
            yield f'upstreams.{domain.name}', self.upstreams_document(domain)
            yield f'instances.{domain.name}', self.instances_document(domain)

    def upstreams_document(self, domain: DomainPlan) -> str:
        """Return the document with the upstreams of a failure domain."""
        return _ini(
            [
                ('domain', {'region': domain.region}),
                *(
                    (
                        f'upstream {row.name}',
                        {
                            'service': row.service.name,
                            'address': str(row.published),
                            'stream_address': str(row.stream),
                            'slots': str(row.service.slots),
                            'state': row.state,
                        },
                    )
                    for row in self.upstreams.values()
                    if row.domain == domain.name
                ),
            ]
        )

    def instances_document(self, domain: DomainPlan) -> str:
        """Return the document with the instances of a failure domain."""
        return _ini(
            [
                ('domain', {'region': domain.region}),
                *(
                    (
                        f'instance {row.name}',
                        {'peer_address': str(row.published), 'state': row.state},
                    )
                    for row in self.instances.values()
                    if row.domain.name == domain.name
                ),
            ]
        )

    def settings_of(self, instance: Instance) -> str:
        """Return the text of the settings file of an instance."""
        seeds = [
            str(row.published)
            for row in self.instances.values()
            if row.name != instance.name
        ][:3]
        sections: dict[str, dict[str, str]] = {
            'instance': {
                'name': instance.name,
                'region': instance.domain.region,
                'failure_domain': instance.domain.name,
                'peer_address': str(instance.peer),
                'status_address': str(instance.status),
                'cluster_key': self.cluster_key,
            },
            'source': {
                'url': f'http://{self.platform}',
                'seed_peers': ','.join(seeds),
            },
            'entrance': {
                'datagram_addresses': _named(instance.datagram),
                'stream_addresses': _named(instance.stream),
            },
        }
        for changes in (SCENARIO_SETTINGS, self.plan.settings):
            for section, values in changes.items():
                sections.setdefault(section, {}).update(values)
        return _ini(sections.items())

    # Start

    async def start(self) -> None:
        """Start the stand-ins, wait until they listen, and start the instances."""
        self._start_platform()
        self._start_fabric()
        if self._is_proxied():
            self.processes.start(
                'faults',
                FAULTS_MODULE,
                f'--admin={self.faults_admin}',
                f'--seed={self.plan.seed}',
            )
        for upstream in self.upstreams.values():
            self.start_upstream(upstream)
        await self._wait_for_standins()
        if self._is_proxied():
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
            f'--listen={self.platform}',
            f'--admin={self.platform_admin}',
            f'--directory={lists}',
        )

    def _start_fabric(self) -> None:
        arguments = [f'--admin={self.fabric_admin}', f'--seed={self.plan.seed}']
        for name, address in self.services.items():
            arguments.append(f'--service={name}={address}')
            arguments.append(f'--stream={name}={self.streams[name]}')
        self.processes.start('fabric', FABRIC_MODULE, *arguments)

    def start_upstream(self, upstream: Upstream) -> None:
        """Start the process of an upstream."""
        service = upstream.service
        self.processes.start(
            upstream.name,
            UPSTREAM_MODULE,
            f'--name={upstream.name}',
            f'--service={service.name}',
            f'--listen={upstream.address}',
            f'--stream-listen={upstream.stream}',
            f'--slots={service.slots}',
            f'--admin={upstream.admin}',
            f'--push-interval-ms={service.push_interval_ms}',
            f'--cold-ms={service.cold_ms}',
            f'--seed={self.plan.seed}',
            f'--execution-log={self.execution_log}',
        )

    async def start_instance(self, instance: Instance) -> None:
        """Write the settings file of an instance and start its process."""
        path = self.folder / f'{instance.name}.ini'
        path.write_text(self.settings_of(instance))
        self.processes.start(
            instance.name, INSTANCE_MODULE, 'run', '--settings', str(path)
        )
        if self._is_proxied():
            pid = self.processes.running[instance.name].pid
            label = label_of(instance)
            await self._configure_faults({'processes': {str(pid): label}})

    async def _wait_for_standins(self) -> None:
        admins = [self.platform_admin, self.fabric_admin]
        admins += [row.admin for row in self.upstreams.values()]
        if self._is_proxied():
            admins.append(self.faults_admin)
        for admin in admins:
            await wait_for_listener(admin, READY_TIMEOUT_S)

    async def wait_ready(self, names: list[str] | None = None) -> None:
        """
        Wait until the status endpoints of instances accept connections.

        Raises
        ------
        RuntimeError
            If an instance has exited; the message holds the end of its log.
        """
        for name in names or list(self.instances):
            waiting = asyncio.create_task(
                wait_for_listener(self.instances[name].status, READY_TIMEOUT_S)
            )
            while not waiting.done():
                await asyncio.wait((waiting,), timeout=0.2)
                if self.processes.running[name].poll() is not None:
                    waiting.cancel()
                    log = self.processes.log_of(name)[-LOG_TAIL:]
                    raise RuntimeError(f'{name} has exited:\n{log}')
            await waiting

    async def _configure_proxies(self) -> None:
        rows = [
            _proxy(label_of_upstream(row), row.published, row.address, ['tcp'])
            for row in self.upstreams.values()
        ]
        rows += [self._instance_proxy(row) for row in self.instances.values()]
        await self._configure_faults({'proxies': rows})

    def _instance_proxy(self, instance: Instance) -> dict[str, object]:
        return _proxy(
            label_of(instance), instance.published, instance.peer, ['udp', 'tcp']
        )

    async def _configure_faults(self, wanted: object) -> None:
        body = json.dumps(wanted).encode()
        await call_admin(self.faults_admin, 'POST', '/configure', body)

    async def _label_instances(self) -> None:
        for instance in self.instances.values():
            await self._label_instance(instance)

    async def _label_instance(self, instance: Instance) -> None:
        for address in (*instance.datagram.values(), *instance.stream.values()):
            query = urlencode({'address': str(address), 'label': label_of(instance)})
            await call_admin(self.fabric_admin, 'POST', f'/label?{query}')

    async def set_latencies(self) -> None:
        """Set the latencies of the scenario on the paths."""
        if self.plan.to_callers_ms:
            await self.set_rule('fabric', 'latency', delay_ms=self.plan.to_callers_ms)
        if not self._is_proxied() or not self.plan.between_domains_ms:
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
        answer = await call_admin(self.platform_admin, 'POST', '/publish', body)
        return int(answer['version']) if isinstance(answer, dict) else 0

    async def set_platform(self, *, is_down: bool) -> None:
        """Start or end an outage of the configuration service."""
        body = json.dumps({'absent': is_down}).encode()
        await call_admin(self.platform_admin, 'POST', '/faults', body)

    async def publish_domain(self, name: str) -> None:
        """Publish the instances and upstreams of a failure domain again."""
        domain = next(row for row in self.plan.domains if row.name == name)
        await self.publish(f'instances.{name}', self.instances_document(domain))
        await self.publish(f'upstreams.{name}', self.upstreams_document(domain))

    async def publish_instances(self, domain: DomainPlan) -> None:
        """Publish the instances of a failure domain again."""
        await self.publish(f'instances.{domain.name}', self.instances_document(domain))

    async def update_fabric(self) -> None:
        """Send the addresses of the current instances to the fabric."""
        rows = [row for row in self.instances.values() if row.is_sprayed]
        for service in self.services:
            datagram = ','.join(str(row.datagram[service]) for row in rows) or '-'
            stream = ','.join(str(row.stream[service]) for row in rows) or '-'
            query = urlencode(
                {'service': service, 'datagram': datagram, 'stream': stream}
            )
            await call_admin(self.fabric_admin, 'POST', f'/instances?{query}')

    async def update_fabric_later(self) -> None:
        """Update the fabric with the delay that a real platform would have."""
        await asyncio.sleep(self.plan.fabric_lag_ms / 1000)
        await self.update_fabric()

    def spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background, with a reference that keeps its task."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    async def set_rule(self, admin: str, name: str, **values: object) -> None:
        """Set a rule of the fabric or of the faulty network."""
        query = urlencode({'name': name, **values})
        await call_admin(self._admin_of(admin), 'POST', f'/rule?{query}')

    async def clear_rule(self, admin: str, name: str) -> None:
        """Remove a rule."""
        query = urlencode({'name': name})
        await call_admin(self._admin_of(admin), 'POST', f'/clear?{query}')

    def _admin_of(self, name: str) -> Endpoint:
        return {'fabric': self.fabric_admin, 'faults': self.faults_admin}[name]

    async def set_upstream(self, name: str, **values: object) -> None:
        """Change the behaviour of an upstream."""
        admin = self.upstreams[name].admin
        await call_admin(admin, 'POST', f'/set?{urlencode(values)}')

    async def kill_instance(self, name: str) -> None:
        """Kill an instance; the fabric is updated with a delay."""
        self.processes.kill(name)
        self.instances[name].is_sprayed = False
        self.spawn(self.update_fabric_later())

    async def join_instance(self, domain_name: str) -> str:
        """Start an additional instance in a failure domain; return its name."""
        domain = next(row for row in self.plan.domains if row.name == domain_name)
        instance = self._add_instance(domain, 'joining')
        if self._is_proxied():
            await self._configure_faults({'proxies': [self._instance_proxy(instance)]})
        await self._label_instance(instance)
        await self.publish_instances(domain)
        await self.start_instance(instance)
        await self.wait_ready([instance.name])
        await asyncio.sleep(JOIN_S)
        instance.state = 'live'
        instance.is_sprayed = True
        await self.publish_instances(domain)
        await self.update_fabric()
        return instance.name

    async def stop_instance(self, name: str) -> int | None:
        """Publish an instance as leaving, stop and remove it; return the exit code."""
        instance = self.instances[name]
        instance.state = 'leaving'
        await self.publish_instances(instance.domain)
        await asyncio.sleep(LEAVE_S)
        instance.is_sprayed = False
        self.processes.send_signal(name, signal.SIGTERM)
        self.spawn(self.update_fabric_later())
        code = await self.processes.wait(name, STOP_TIMEOUT_S)
        if code is None:
            self.processes.kill(name)
        await self.remove_instance(name)
        return code

    async def remove_instance(self, name: str) -> None:
        """Remove an instance from the published list and the fabric."""
        instance = self.instances.pop(name)
        await self.publish_instances(instance.domain)
        await self.update_fabric()

    async def replace_instance(self, name: str) -> str:
        """Start a replacement, then stop the instance; return the new name."""
        new = await self.join_instance(self.instances[name].domain.name)
        await self.stop_instance(name)
        return new

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

    async def partition(self, side: list[str], other: list[str]) -> None:
        """Cut all paths between two groups of failure domains."""
        for first in side:
            for second in other:
                for source, target in ((first, second), (second, first)):
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

    async def status_of(self, name: str, path: str = '/status') -> object:
        """Return a status page of an instance, or None if the request fails."""
        try:
            return await call_admin(self.instances[name].status, 'GET', path)
        except (OSError, EOFError, ValueError, TimeoutError):
            return None

    async def stream_bytes(self) -> dict[str, int]:
        """Return the stream bytes by source and target; empty without proxies."""
        if not self._is_proxied():
            return {}
        answer = await call_admin(self.faults_admin, 'GET', '/stats')
        pairs = answer['stream_bytes'] if isinstance(answer, dict) else {}
        return {str(pair): int(size) for pair, size in pairs.items()}

    async def flows_opened_twice(self) -> list[str]:
        """Return the ids of flows that were opened on more than one upstream."""
        counted: Counter[str] = Counter()
        for name, upstream in self.upstreams.items():
            if name in self.processes.running:
                answer = await call_admin(upstream.admin, 'GET', '/opened')
                counted.update(answer if isinstance(answer, list) else [])
        return [flow for flow, count in counted.items() if count > 1]

    async def upstream_stats(self) -> dict[str, dict[str, object]]:
        """Return the statistics of every upstream that answers."""
        found: dict[str, dict[str, object]] = {}
        for name, upstream in self.upstreams.items():
            try:
                answer = await call_admin(upstream.admin, 'GET', '/stats')
            except (OSError, EOFError, TimeoutError):
                continue
            if isinstance(answer, dict):
                found[name] = answer
        return found


def label_of(instance: Instance) -> str:
    """Return the label of an instance in rules."""
    return f'{instance.domain.name}/{instance.name}'


def label_of_upstream(upstream: Upstream) -> str:
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


def _proxy(
    label: str, listen: Endpoint, target: Endpoint, kinds: list[str]
) -> dict[str, object]:
    return {
        'label': label,
        'listen': str(listen),
        'target': str(target),
        'kinds': kinds,
    }


def _named(addresses: Mapping[str, Endpoint]) -> str:
    return ', '.join(f'{name}={address}' for name, address in addresses.items())


def _ini(sections: Iterable[tuple[str, Mapping[str, str]]]) -> str:
    lines: list[str] = []
    for title, values in sections:
        lines.append(f'[{title}]')
        lines += [f'{key} = {value}' for key, value in values.items()]
        lines.append('')
    return '\n'.join(lines)
