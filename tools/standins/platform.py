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

MAX_BODY_BYTES = 2_000_000
MAX_WAIT_MS = 300_000
REQUEST_TIMEOUT_S = 30.0
REASON_PHRASES = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 503: 'Unavailable'}


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
class DocumentSet:
    """Revision, and the version and text of each document by name."""

    revision: int = 0
    documents: dict[str, tuple[int, str]] = field(default_factory=dict)

    def copy(self) -> 'DocumentSet':
        """Return a copy that later publications do not change."""
        return DocumentSet(self.revision, dict(self.documents))


@dataclass
class Response:
    """An HTTP response; ``length`` replaces the actual Content-Length."""

    status: int
    body: bytes
    version: int | None = None
    length: int | None = None
    digest: str = ''


class Platform:
    """The service: published documents, faults and counts of requests."""

    def __init__(self) -> None:
        """Initialise without documents and faults."""
        self.published = DocumentSet()
        self.stale_documents: DocumentSet | None = None
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
        previous_version = self.published.documents.get(name, (0, ''))[0]
        version = previous_version + 1 if version is None else version
        self.published.documents[name] = (version, text)
        self.published.revision += 1
        self._notify_watches()
        return version

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and resume all watches, which then apply the new ones."""
        if faults.stale and not self.faults.stale:
            self.stale_documents = self.published.copy()
        self.faults = faults
        if faults.absent:
            for writer in tuple(self._writers):
                writer.close()
        self._notify_watches()

    async def listen(self, host: str, port: int, *, is_admin: bool = False) -> int:
        """Listen on an address and return the port."""
        handle_connection = self._serve_admin if is_admin else self._serve_reader
        server = await asyncio.start_server(handle_connection, host, port)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the listening sockets and the connections of readers."""
        for server in self._servers:
            server.close()
        for writer in tuple(self._writers):
            writer.close()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible_documents(self) -> DocumentSet:
        if self.faults.stale and self.stale_documents is not None:
            return self.stale_documents
        return self.published

    def _count_request(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
        self.read_times_s.append(time.monotonic())

    async def _serve_reader(
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
                response = await self._respond(request[1])
                if self.faults.absent:
                    break
                if self.faults.slow_ms:
                    await asyncio.sleep(self.faults.slow_ms / 1000)
                await _write_response(writer, response)
                if response.length is not None:
                    break
        except (OSError, ValueError, EOFError, TimeoutError, asyncio.CancelledError):
            self.counts['broken'] = self.counts.get('broken', 0) + 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, target: str) -> Response:
        url = urlsplit(target)
        if url.path == '/v1/documents':
            self._count_request('list')
            return await self._list_documents(parse_qs(url.query))
        prefix = '/v1/documents/'
        if url.path.startswith(prefix):
            self._count_request('read')
            return self._read_document(unquote(url.path.removeprefix(prefix)))
        return Response(404, b'no such path\n')

    async def _list_documents(self, query: dict[str, list[str]]) -> Response:
        try:
            after = int(query.get('after', ['-1'])[0])
            wait_ms = float(query.get('wait_ms', ['0'])[0])
        except ValueError:
            return Response(400, b'after and wait_ms are numbers\n')
        deadline_s = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while self._visible_documents().revision <= after and not self.faults.absent:
            changed = self._changed
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                break
        if self.faults.listing_text:
            return Response(200, self.faults.listing_text.encode())
        if self.faults.malformed:
            return Response(200, b'{"revision": "new", "documents": [')
        document_set = self._visible_documents()
        versions = {
            name: document[0] for name, document in document_set.documents.items()
        }
        listing = {'revision': document_set.revision, 'documents': versions}
        return Response(200, json.dumps(listing).encode())

    def _read_document(self, name: str) -> Response:
        document = self._visible_documents().documents.get(name)
        if document is None:
            return Response(404, b'no such document\n')
        version, text = document
        body = text.encode()
        digest = hashlib.blake2b(body, digest_size=16).hexdigest()
        if self.faults.malformed:
            return Response(200, b'\xff[plan', version)
        if self.faults.torn_silently:
            return Response(200, body[: len(body) * 2 // 3], version, digest=digest)
        if self.faults.torn:
            return Response(200, body[: len(body) // 2], version, length=len(body))
        return Response(200, body, version, digest=digest)

    async def _serve_admin(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                await _write_response(writer, self._handle_admin_request(*request))
        except (OSError, ValueError, EOFError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _handle_admin_request(self, method: str, target: str, body: bytes) -> Response:
        if (method, target) == ('GET', '/counts'):
            counts = {**self.counts, 'watching': len(self._writers)}
            return Response(200, json.dumps(counts).encode())
        try:
            parsed = json.loads(body)
            if target == '/publish':
                version = self.publish(
                    str(parsed['name']), str(parsed['text']), parsed.get('version')
                )
                return Response(200, json.dumps({'version': version}).encode())
            if target == '/faults':
                self.set_faults(Faults(**parsed))
                return Response(200, b'{}')
        except (ValueError, TypeError, KeyError) as error:
            return Response(400, f'{error!r}\n'.encode())
        return Response(404, b'no such path\n')


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, bytes] | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _protocol = line.decode('ascii').split()
    length = 0
    async with asyncio.timeout(REQUEST_TIMEOUT_S):
        while (header := (await reader.readline()).strip()) != b'':
            name, _separator, value = header.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        if not 0 <= length <= MAX_BODY_BYTES:
            raise ValueError('request body is too large')
        return method, target, await reader.readexactly(length)


async def _write_response(writer: asyncio.StreamWriter, response: Response) -> None:
    length = len(response.body) if response.length is None else response.length
    head = (
        f'HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, "Error")}\r\n'
    )
    head += f'Content-Length: {length}\r\n'
    if response.version is not None:
        head += f'X-Document-Version: {response.version}\r\n'
    if response.digest:
        head += f'X-Document-Digest: {response.digest}\r\n'
    writer.write(head.encode() + b'\r\n' + response.body)
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
