"""Client of the configuration service: interface and HTTP implementation."""

import asyncio
import hashlib
import json
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType
from typing import Self
from urllib.parse import quote

import httpx
from returns.result import Failure, Result, Success

from cardamomtiller.finding import Finding, Place
from cardamomtiller.identity import MS_PER_S, DocumentName, Version
from cardamomtiller.lists.document import (
    MAX_DOCUMENT_BYTES,
    MAX_NAME_LENGTH,
    Document,
)
from cardamomtiller.settings_pb2 import SourceSettings

MAX_DOCUMENT_COUNT = 1000
MAX_VERSION = (1 << 63) - 1
VERSION_HEADER = 'X-Document-Version'
# Optional. Without this header, a truncated text that is still valid INI would be
# accepted.
DIGEST_HEADER = 'X-Document-Digest'
DIGEST_BYTES = 16
LIST_PATH = 'v1/documents'
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class Listing:
    """Revision of the published set, and the current version of each document."""

    revision: Version
    versions: Mapping[DocumentName, Version]


class ConfigurationSource(ABC):
    """
    Read and watch the published documents.

    Every failure, including a malformed response, is returned as a ``Finding``;
    no method raises an exception for it.
    """

    @abstractmethod
    async def list(self) -> Result[Listing, Finding]:
        """Return the current listing without waiting for a change."""

    @abstractmethod
    async def read(self, name: DocumentName) -> Result[Document, Finding]:
        """Return the text and version of one document."""

    @abstractmethod
    async def watch(
        self,
        revision: Version,
        wait_ms: float,
    ) -> Result[Listing, Finding]:
        """Return the listing once it is newer than ``revision``, or after a timeout."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpSource(ConfigurationSource):
    """Configuration service over HTTP, see ``docs/configuration.md``."""

    def __init__(self, url: str, timeout_ms: float) -> None:
        """
        Create the HTTP client; no connection is opened yet.

        Parameters
        ----------
        url
            Base URL.
        timeout_ms
            Timeout of one read. The timeout of a watch is ``wait_ms`` plus this.
        """
        self._url = url.rstrip('/')
        self._timeout_s = timeout_ms / MS_PER_S
        # Proxy settings of the environment are ignored: addresses are numeric, and
        # the service must be reachable directly.
        self._client = httpx.AsyncClient(trust_env=False, follow_redirects=False)

    async def __aenter__(self) -> Self:
        """Return the source."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.close()

    async def list(self) -> Result[Listing, Finding]:
        """Return the current listing without waiting for a change."""
        return await self.watch(Version(-1), 0)

    async def read(self, name: DocumentName) -> Result[Document, Finding]:
        """Return the text and version of one document."""
        path = f'{LIST_PATH}/{quote(name, safe="")}'
        place = Place(f'{self._url}/{path}')
        response = await self._get(path, self._timeout_s)
        if isinstance(response, Failure):
            return response
        headers, body = response.unwrap()
        digest = headers.get(DIGEST_HEADER)
        if digest is not None and digest != text_digest(body):
            return Failure(Finding(place, f'text does not match {DIGEST_HEADER}'))
        version = _parse_version(headers.get(VERSION_HEADER, ''))
        if version is None:
            return Failure(
                Finding(place, f'header {VERSION_HEADER} is not a valid version')
            )
        try:
            return Success(Document(name, Version(version), body.decode()))
        except UnicodeDecodeError:
            return Failure(Finding(place, 'text is not UTF-8'))

    async def watch(
        self,
        revision: Version,
        wait_ms: float,
    ) -> Result[Listing, Finding]:
        """Return the listing once it is newer than ``revision``, or after a timeout."""
        path = f'{LIST_PATH}?after={revision}&wait_ms={int(wait_ms)}'
        place = Place(f'{self._url}/{LIST_PATH}')
        response = await self._get(path, self._timeout_s + wait_ms / MS_PER_S)
        if isinstance(response, Failure):
            return response
        try:
            return Success(_parse_listing(response.unwrap()[1]))
        except (ValueError, RecursionError) as error:
            return Failure(Finding(place, f'malformed listing: {error}'))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _get(
        self,
        path: str,
        timeout_s: float,
    ) -> Result[tuple[httpx.Headers, bytes], Finding]:
        place = Place(f'{self._url}/{path}')
        # The timeout of httpx applies to each read of the socket. The outer timeout
        # limits the whole request, in case the server keeps sending single bytes.
        try:
            async with asyncio.timeout(timeout_s):
                return await self._receive(path, place, timeout_s)
        except TimeoutError:
            return Failure(Finding(place, f'no response within {timeout_s:.3f} s'))
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            reason = str(error) or type(error).__name__
            return Failure(Finding(place, f'request failed: {reason}'))

    async def _receive(
        self,
        path: str,
        place: Place,
        timeout_s: float,
    ) -> Result[tuple[httpx.Headers, bytes], Finding]:
        request = self._client.stream('GET', f'{self._url}/{path}', timeout=timeout_s)
        async with request as response:
            if response.status_code != httpx.codes.OK:
                message = f'response has status {response.status_code}'
                return Failure(Finding(place, message))
            if not _FRAMING_HEADERS & response.headers.keys():
                # Such a body ends when the connection closes, so a truncated body
                # could not be detected.
                return Failure(
                    Finding(
                        place,
                        'response has neither Content-Length nor Transfer-Encoding',
                    )
                )
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_DOCUMENT_BYTES:
                    message = f'response is longer than {MAX_DOCUMENT_BYTES} bytes'
                    return Failure(Finding(place, message))
            return Success((response.headers, bytes(body)))


def text_digest(body: bytes) -> str:
    """Compute the value of the header ``X-Document-Digest`` for a text."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def open_source(settings: SourceSettings) -> HttpSource:
    """Create the client for the section ``source`` of the settings."""
    return HttpSource(settings.url, settings.read_timeout_ms)


def _parse_listing(body: bytes) -> Listing:
    parsed = json.loads(body)
    if not isinstance(parsed, dict):
        raise ValueError('body is not a JSON object')
    revision = parsed.get('revision')
    documents = parsed.get('documents')
    if not isinstance(revision, int) or not _is_version(revision):
        raise ValueError('revision is not a valid version')
    if not isinstance(documents, dict) or len(documents) > MAX_DOCUMENT_COUNT:
        raise ValueError(
            f'documents is not an object with at most {MAX_DOCUMENT_COUNT} entries'
        )
    for name, version in documents.items():
        if not 0 < len(name) <= 2 * MAX_NAME_LENGTH or not _is_version(version):
            raise ValueError(
                f'document {name[:MAX_NAME_LENGTH]!r} has an invalid name or version'
            )
    versions = {DocumentName(name): Version(value) for name, value in documents.items()}
    return Listing(Version(revision), versions)


def _is_version(value: object) -> bool:
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_VERSION


def _parse_version(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) < 20
    number = int(text) if is_number else -1
    return number if 0 <= number <= MAX_VERSION else None
