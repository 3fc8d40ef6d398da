"""
Stand-in for the configuration service: an HTTP server.

``python -m tools.standins.platform --listen HOST:PORT --admin HOST:PORT
--directory DIR``. Each file ``NAME.ini`` of the directory is published as version 1
of the document NAME. The protocol is described in ``docs/configuration.md``; the
admin address serves ``POST /publish``, ``POST /faults`` and ``GET /counts``.
"""

import argparse
import asyncio
import hashlib
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

LARGEST_BODY_BYTES = 2_000_000
LONGEST_WAIT_MS = 300_000
TIMEOUT_S = 30.0
REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 503: 'Unavailable'}


@dataclass
class Faults:
    """
    Faults of the service.

    ``absent``: every connection is closed without a response. ``stale``: responses
    hold the documents as they were when the fault was set. ``torn``: a document is
    truncated, but Content-Length is that of the whole text. ``torn_silently``: a
    document is truncated and Content-Length matches, only the digest does not.
    ``malformed``: listing and documents cannot be decoded. ``listing_text``: sent
    instead of the listing. ``slow_ms``: delay of each response.
    """

    absent: bool = False
    stale: bool = False
    torn: bool = False
    torn_silently: bool = False
    malformed: bool = False
    listing_text: str = ''
    slow_ms: float = 0.0


@dataclass
class Published:
    """Revision, and the version and text of each document by name."""

    revision: int = 0
    documents: dict[str, tuple[int, str]] = field(default_factory=dict)

    def copy(self) -> 'Published':
        """Return a copy that later publications do not change."""
        return Published(self.revision, dict(self.documents))


@dataclass
class Answer:
    """An HTTP response; ``length`` replaces the actual Content-Length."""

    status: int
    body: bytes
    version: int | None = None
    length: int | None = None
    digest: str = ''


class Platform:
    """The service: published documents, faults and counts of requests."""

    def __init__(self) -> None:
        """Initialize without documents and faults."""
        self.published = Published()
        self.frozen: Published | None = None
        self.faults = Faults()
        self.counts: dict[str, int] = {}
        self.read_times_s: list[float] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    def load(self, directory: Path) -> None:
        """Publish every INI file of a directory."""
        for path in sorted(directory.glob('*.ini')):
            self.publish(path.stem, path.read_text(encoding='utf-8'))

    def publish(self, name: str, text: str, version: int | None = None) -> int:
        """Publish a document and resume all watches; return the version."""
        held = self.published.documents.get(name, (0, ''))[0]
        version = held + 1 if version is None else version
        self.published.documents[name] = (version, text)
        self.published.revision += 1
        self._wake()
        return version

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and resume all watches, which then apply the new ones."""
        if faults.stale and not self.faults.stale:
            self.frozen = self.published.copy()
        self.faults = faults
        if faults.absent:
            for writer in tuple(self._writers):
                writer.close()
        self._wake()

    async def listen(self, host: str, port: int, *, is_admin: bool = False) -> int:
        """Listen on an address and return the port."""
        handle = self._handle_admin if is_admin else self._handle_reader
        server = await asyncio.start_server(handle, host, port)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the listening sockets and the connections of readers."""
        for server in self._servers:
            server.close()
        for writer in tuple(self._writers):
            writer.close()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _shown(self) -> Published:
        if self.faults.stale and self.frozen is not None:
            return self.frozen
        return self.published

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
        self.read_times_s.append(time.monotonic())

    async def _handle_reader(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while not self.faults.absent:
                request = await _read_request(reader)
                if request is None:
                    break
                answer = await self._answer(request[1])
                if self.faults.absent:
                    break
                if self.faults.slow_ms:
                    await asyncio.sleep(self.faults.slow_ms / 1000)
                await _write(writer, answer)
                if answer.length is not None:
                    break
        except (OSError, ValueError, EOFError, TimeoutError, asyncio.CancelledError):
            self.counts['broken'] = self.counts.get('broken', 0) + 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> Answer:
        parts = urlsplit(target)
        if parts.path == '/v1/documents':
            self._count('list')
            return await self._list(parse_qs(parts.query))
        prefix = '/v1/documents/'
        if parts.path.startswith(prefix):
            self._count('read')
            return self._read(unquote(parts.path.removeprefix(prefix)))
        return Answer(404, b'no such path\n')

    async def _list(self, query: dict[str, list[str]]) -> Answer:
        try:
            after = int(query.get('after', ['-1'])[0])
            wait_ms = float(query.get('wait_ms', ['0'])[0])
        except ValueError:
            return Answer(400, b'after and wait_ms are numbers\n')
        deadline_s = time.monotonic() + min(wait_ms, LONGEST_WAIT_MS) / 1000
        while self._shown().revision <= after and not self.faults.absent:
            changed = self._changed
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if self.faults.listing_text:
            return Answer(200, self.faults.listing_text.encode())
        if self.faults.malformed:
            return Answer(200, b'{"revision": "new", "documents": [')
        shown = self._shown()
        versions = {name: row[0] for name, row in shown.documents.items()}
        listing = {'revision': shown.revision, 'documents': versions}
        return Answer(200, json.dumps(listing).encode())

    def _read(self, name: str) -> Answer:
        document = self._shown().documents.get(name)
        if document is None:
            return Answer(404, b'no such document\n')
        version, text = document
        body = text.encode()
        digest = hashlib.blake2b(body, digest_size=16).hexdigest()
        if self.faults.malformed:
            return Answer(200, b'\xff[plan', version)
        if self.faults.torn_silently:
            return Answer(200, body[: len(body) * 2 // 3], version, digest=digest)
        if self.faults.torn:
            return Answer(200, body[: len(body) // 2], version, length=len(body))
        return Answer(200, body, version, digest=digest)

    async def _handle_admin(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                await _write(writer, self._administer(*request))
        except (OSError, ValueError, EOFError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _administer(self, method: str, target: str, body: bytes) -> Answer:
        if (method, target) == ('GET', '/counts'):
            counts = {**self.counts, 'watching': len(self._writers)}
            return Answer(200, json.dumps(counts).encode())
        try:
            parsed = json.loads(body)
            if target == '/publish':
                version = self.publish(
                    str(parsed['name']), str(parsed['text']), parsed.get('version')
                )
                return Answer(200, json.dumps({'version': version}).encode())
            if target == '/faults':
                self.set_faults(Faults(**parsed))
                return Answer(200, b'{}')
        except (ValueError, TypeError, KeyError) as error:
            return Answer(400, f'{error!r}\n'.encode())
        return Answer(404, b'no such path\n')


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, bytes] | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _protocol = line.decode('ascii').split()
    length = 0
    async with asyncio.timeout(TIMEOUT_S):
        while (header := (await reader.readline()).strip()) != b'':
            name, _separator, value = header.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        if not 0 <= length <= LARGEST_BODY_BYTES:
            raise ValueError('request body is too large')
        return method, target, await reader.readexactly(length)


async def _write(writer: asyncio.StreamWriter, answer: Answer) -> None:
    length = len(answer.body) if answer.length is None else answer.length
    head = f'HTTP/1.1 {answer.status} {REASONS.get(answer.status, "Error")}\r\n'
    head += f'Content-Length: {length}\r\n'
    if answer.version is not None:
        head += f'X-Document-Version: {answer.version}\r\n'
    if answer.digest:
        head += f'X-Document-Digest: {answer.digest}\r\n'
    writer.write(head.encode() + b'\r\n' + answer.body)
    await writer.drain()


def _parse_address(text: str) -> tuple[str, int]:
    host, _separator, port = text.rpartition(':')
    return host, int(port)


async def serve(arguments: argparse.Namespace) -> None:
    """Publish the documents of the directory and serve until cancelled."""
    platform = Platform()
    platform.load(arguments.directory)
    await platform.listen(*_parse_address(arguments.listen))
    await platform.listen(*_parse_address(arguments.admin), is_admin=True)
    print(f'serving {len(platform.published.documents)} documents', flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and run the service."""
    parser = argparse.ArgumentParser(
        description='Stand-in for the configuration service.'
    )
    parser.add_argument('--listen', required=True)
    parser.add_argument('--admin', required=True)
    parser.add_argument('--directory', required=True, type=Path)
    try:
        asyncio.run(serve(parser.parse_args()))
    except KeyboardInterrupt:
        pass


if __name__ == '__main__':
    main()
