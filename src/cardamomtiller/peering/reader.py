"""Task that keeps the documents of an instance up to date."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from loguru import logger
from returns.result import Failure

from cardamomtiller.counter import Counters
from cardamomtiller.finding import Finding, Place
from cardamomtiller.identity import (
    MS_PER_S,
    DocumentName,
    DomainName,
    InstanceId,
    Version,
)
from cardamomtiller.lists.document import Document
from cardamomtiller.lists.snapshot import OfferOutcome, SnapshotStore
from cardamomtiller.membership.view import View
from cardamomtiller.peering.source import ConfigurationSource, Listing
from cardamomtiller.rendezvous import rank
from cardamomtiller.settings_pb2 import SourceSettings

FIRST_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 15_000.0
# If the service answers a watch sooner than this, the reader sleeps before the next
# one instead of repeating it in a tight loop.
MIN_WATCH_MS = 100.0
FIRST_WATCH_MS = 2_000.0
MAX_FINDINGS = 100
# A watch of it is answered at once.
NO_REVISION = Version(-1)


@dataclass(frozen=True, slots=True)
class ReaderOptions:
    """Times of the reader, and the number of watchers per failure domain."""

    watch_wait_ms: float
    jitter_ms: float
    poll_interval_ms: float
    watchers: int


class ReaderRole(Enum):
    """How an instance reads new versions: by long polling or by polling."""

    WATCHER = 'watcher'
    POLLER = 'poller'


def read_options(settings: SourceSettings) -> ReaderOptions:
    """Convert the section ``source`` of the settings."""
    return ReaderOptions(
        watch_wait_ms=settings.watch_wait_ms,
        jitter_ms=settings.jitter_ms,
        poll_interval_ms=settings.poll_interval_ms,
        watchers=settings.watchers,
    )


def choose_role(
    name: InstanceId,
    domain: DomainName,
    view: View,
    watchers: int,
) -> ReaderRole:
    """
    Choose whether an instance watches the configuration service or polls it.

    In each failure domain a few instances watch and pass new documents on to the
    others. An instance whose view has no serving instance in its domain watches
    too, because it cannot get a change from a peer.
    """
    serving = view.serving_in(domain)
    watcher_names = rank(f'watch {domain}', serving)[:watchers]
    return (
        ReaderRole.WATCHER
        if name in watcher_names or not watcher_names
        else ReaderRole.POLLER
    )


@dataclass(slots=True)
class RefusedDocuments:
    """Refused document versions, recorded so that they are not fetched again."""

    counters: Counters
    versions: dict[DocumentName, Version] = field(default_factory=dict)
    text_hashes: dict[DocumentName, int] = field(default_factory=dict)
    findings: dict[DocumentName, tuple[Finding, ...]] = field(default_factory=dict)

    def refuse(self, document: Document, findings: tuple[Finding, ...]) -> None:
        """Record a refused version and its findings."""
        self.counters.add('configuration.refused')
        self.versions[document.name] = document.version
        self.text_hashes[document.name] = hash(document.text)
        self.findings[document.name] = findings[:MAX_FINDINGS]
        logger.warning(
            'document {} version {} refused: {}',
            document.name,
            document.version,
            findings[0],
        )

    def clear(self, name: DocumentName) -> None:
        """Remove the entry of a document, after a valid version was accepted."""
        self.versions.pop(name, None)
        self.text_hashes.pop(name, None)
        self.findings.pop(name, None)

    def is_refused_text(self, document: Document) -> bool:
        """
        Return whether the same text with the same version was refused before.

        A different text with the same version is validated again, because the
        refused one may have been truncated in transit.
        """
        is_same_text = self.text_hashes.get(document.name) == hash(document.text)
        return is_same_text and self.is_refused(document.name, document.version)

    def is_refused(self, name: DocumentName, version: Version) -> bool:
        """Return whether exactly this version was refused."""
        return self.versions.get(name) == version


class DocumentIntake:
    """Validate documents from any source, store them and count the outcomes."""

    def __init__(
        self,
        store: SnapshotStore,
        counters: Counters,
        on_change: Callable[[float], None],
    ) -> None:
        """
        Set up the intake of a store.

        Parameters
        ----------
        store
            Snapshot of the accepted documents.
        counters
            Receives the counters ``configuration.*``.
        on_change
            Called with the time in milliseconds after documents were accepted.
        """
        self.store = store
        self.refused = RefusedDocuments(counters)
        self._counters = counters
        self._on_change = on_change

    def offer(self, documents: Iterable[Document], now_ms: float) -> int:
        """Offer documents to the store and return how many were accepted."""
        accepted_count = 0
        for document in documents:
            if self.refused.is_refused_text(document):
                continue
            offer_result = self.store.offer(document, now_ms)
            if isinstance(offer_result, Failure):
                self.refused.refuse(document, offer_result.failure())
                continue
            outcome = offer_result.unwrap()
            self._counters.add(f'configuration.{outcome.value}')
            if outcome is OfferOutcome.TAKEN:
                accepted_count += 1
                self.refused.clear(document.name)
        if accepted_count:
            self._on_change(now_ms)
        return accepted_count

    def find_newer(
        self, versions: Mapping[DocumentName, Version]
    ) -> list[DocumentName]:
        """Return the documents of a listing that are newer than the stored ones."""
        held_versions = self.store.versions()
        return [
            name
            for name, version in sorted(versions.items())
            if version > held_versions.get(name, Version(-1))
            and not self.refused.is_refused(name, version)
        ]


class ConfigurationReader:
    """Read new document versions from the configuration service."""

    def __init__(
        self,
        source: ConfigurationSource,
        intake: DocumentIntake,
        options: ReaderOptions,
        role: Callable[[], ReaderRole],
        clock_ms: Callable[[], float],
        counters: Counters,
        seed: int,
    ) -> None:
        """
        Set up the reader; ``run`` is its task.

        Parameters
        ----------
        source
            Client of the configuration service.
        intake
            Receives the documents.
        options
            Times and the number of watchers.
        role
            Returns the current role; called before each read.
        clock_ms
            Monotonic time in milliseconds.
        counters
            Receives the counters ``source.*``.
        seed
            Seed of the jitter; must differ between instances.
        """
        self._source = source
        self._intake = intake
        self._options = options
        self._role = role
        self._clock_ms = clock_ms
        self._counters = counters
        self._random = random.Random(seed)
        self._revision = NO_REVISION
        self._backoff_ms = FIRST_BACKOFF_MS
        self._watch_ms = FIRST_WATCH_MS
        self._source_findings: dict[str, Finding] = {}
        self.last_success_ms: float | None = None

    def findings(self) -> tuple[Finding, ...]:
        """Return the findings about the service and about refused documents."""
        all_findings = list(self._source_findings.values())
        for findings in self._intake.refused.findings.values():
            all_findings.extend(findings)
        return tuple(all_findings)

    async def start(self, fetch_from_seeds: Callable[[], Awaitable[None]]) -> None:
        """Fetch documents from the seed peers and the source concurrently."""
        await asyncio.gather(fetch_from_seeds(), self.read_once())

    async def run(self) -> None:
        """Watch or poll the source until the task is cancelled."""
        while True:
            role = self._role()
            if role is ReaderRole.POLLER:
                await self._sleep(self._add_jitter(self._options.poll_interval_ms))
                role = self._role()
            wait_ms = self._next_wait_ms() if role is ReaderRole.WATCHER else 0
            started_ms = self._clock_ms()
            is_read = await self.read_once(wait_ms)
            if not is_read:
                await self._back_off()
            elif self._clock_ms() - started_ms < MIN_WATCH_MS:
                await self._sleep(self._add_jitter(MIN_WATCH_MS))

    async def read_once(self, wait_ms: float = 0) -> bool:
        """
        Read the listing and every document that is newer than the stored one.

        With ``wait_ms``, the service delays the listing until it changes.

        Returns
        -------
        bool
            Whether all reads succeeded.
        """
        after = self._revision if wait_ms else NO_REVISION
        self._counters.add('source.list')
        listed_result = await self._source.watch(after, wait_ms)
        if isinstance(listed_result, Failure):
            self._record_failure('listing', listed_result.failure())
            # The service may return from an older copy, with a lower revision.
            self._revision = NO_REVISION
            return False
        self._source_findings.pop('listing', None)
        return await self._read_newer(listed_result.unwrap(), wait_ms)

    async def _read_newer(self, listing: Listing, wait_ms: float) -> bool:
        newer_names = self._intake.find_newer(listing.versions)
        if newer_names and wait_ms:
            # The service answers all watchers at the same time. The jitter spreads
            # their reads, and a peer may deliver the documents meanwhile.
            await self._sleep(self._random.uniform(0, self._options.jitter_ms))
            newer_names = self._intake.find_newer(listing.versions)
        is_complete = True
        for name in newer_names:
            is_complete = await self._read_document(name, listing) and is_complete
        if is_complete:
            self._revision = listing.revision
            self._backoff_ms = FIRST_BACKOFF_MS
            self.last_success_ms = self._clock_ms()
        return is_complete

    async def _read_document(self, name: DocumentName, listing: Listing) -> bool:
        self._counters.add('source.read')
        read_result = await self._source.read(name)
        if isinstance(read_result, Failure):
            self._record_failure(name, read_result.failure())
            return False
        document = read_result.unwrap()
        if document.version < listing.versions[name]:
            message = (
                f'got version {document.version}, listed is {listing.versions[name]}'
            )
            self._record_failure(name, Finding(Place(name), message))
            self._intake.offer((document,), self._clock_ms())
            return False
        self._source_findings.pop(name, None)
        self._intake.offer((document,), self._clock_ms())
        return True

    def _record_failure(self, subject: str, finding: Finding) -> None:
        self._counters.add('source.failed')
        if subject not in self._source_findings:
            logger.warning('configuration service: {}', finding)
        if len(self._source_findings) < MAX_FINDINGS:
            self._source_findings[subject] = finding

    async def _back_off(self) -> None:
        await self._sleep(self._random.uniform(self._backoff_ms / 2, self._backoff_ms))
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)

    def _next_wait_ms(self) -> float:
        # Right after its start an instance has no live peer in its view and is a
        # watcher; short first watches let it switch to polling soon.
        wait_ms = min(self._watch_ms, self._options.watch_wait_ms)
        self._watch_ms = 2 * wait_ms
        return wait_ms

    def _add_jitter(self, interval_ms: float) -> float:
        return interval_ms * self._random.uniform(0.5, 1)

    async def _sleep(self, wait_ms: float) -> None:
        await asyncio.sleep(wait_ms / MS_PER_S)
