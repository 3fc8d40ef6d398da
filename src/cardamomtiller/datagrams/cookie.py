"""Sealed cookies, which carry the route of a flow."""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from cardamomtiller.identity import FlowId
from cardamomtiller.lists.document import KeyRow
from cardamomtiller.wire_pb2 import Cookie

MAC_BYTES = 16
MAX_COOKIE_BYTES = 400
COOKIES_CACHED = 50_000


VERDICT_TEXTS = {
    'cookie.malformed': 'not valid: cannot be decoded',
    'cookie.unknown_key': 'not valid: sealed with a key that is not published',
    'cookie.forged': 'not valid: the MAC does not match this flow and this key',
}


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decoded cookie with the result of its verification, for operators."""

    key_id: int | None
    key_state: str
    is_valid: bool
    verdict: str
    fields: tuple[tuple[str, str], ...]

    def lines(self) -> Iterator[str]:
        """Iterate over the lines of the report."""
        yield f'key id: {self.key_id} ({self.key_state})'
        yield f'verdict: {self.verdict}'
        for name, value in self.fields:
            yield f'{name}: {value}'


class CookieSealer:
    """
    Seal cookies with the current key and open them with any accepted key.

    A sealed cookie consists of a key id of 1 byte, a MAC of 16 bytes, and the
    cookie message. The MAC covers key id, flow id and message. The cookie is
    authenticated, but not encrypted.
    """

    def __init__(self) -> None:
        """Create a sealer without keys, which rejects every cookie."""
        self._keys: dict[int, bytes] = {}
        self._current: KeyRow | None = None
        self._cache: OrderedDict[tuple[FlowId, bytes], Cookie] = OrderedDict()

    def set_keys(self, keys: dict[int, KeyRow]) -> None:
        """Replace the keys; cookies sealed with a removed key become invalid."""
        secrets = {key_id: row.secret for key_id, row in keys.items()}
        if secrets != self._keys:
            self._cache.clear()
        self._keys = secrets
        self._current = next((row for row in keys.values() if row.is_current), None)

    def seal(self, flow: FlowId, cookie: Cookie) -> bytes:
        """
        Seal a cookie for a flow.

        Raises
        ------
        LookupError
            If no key is published as current.
        """
        if self._current is None:
            raise LookupError('no sealing key is published')
        body = cookie.SerializeToString(deterministic=True)
        key_id = self._current.key_id
        mac = _mac(self._current.secret, key_id, flow, body)
        return bytes((key_id,)) + mac + body

    def open(self, flow: FlowId, sealed: bytes) -> Result[Cookie, str]:
        """
        Verify and decode a sealed cookie.

        Returns
        -------
        Result
            The cookie, or the counter name of the reason why it is invalid. The
            cookie is shared with the cache and must not be modified.
        """
        cached = self._cache.get((flow, sealed))
        if cached is not None:
            return Success(cached)
        if not MAC_BYTES < len(sealed) <= MAX_COOKIE_BYTES:
            return Failure('cookie.malformed')
        secret = self._keys.get(sealed[0])
        if secret is None:
            return Failure('cookie.unknown_key')
        body = sealed[1 + MAC_BYTES :]
        expected = _mac(secret, sealed[0], flow, body)
        if not hmac.compare_digest(expected, sealed[1 : 1 + MAC_BYTES]):
            return Failure('cookie.forged')
        try:
            cookie = Cookie.FromString(body)
        except DecodeError:
            return Failure('cookie.malformed')
        self._store_in_cache(flow, sealed, cookie)
        return Success(cookie)

    def _store_in_cache(self, flow: FlowId, sealed: bytes, cookie: Cookie) -> None:
        self._cache[(flow, sealed)] = cookie
        if len(self._cache) > COOKIES_CACHED:
            self._cache.popitem(last=False)


def _mac(secret: bytes, key_id: int, flow: FlowId, body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=MAC_BYTES, key=secret)
    digest.update(bytes((key_id,)))
    digest.update(flow)
    digest.update(body)
    return digest.digest()


def explain_cookie(
    sealed: bytes,
    flow: bytes,
    keys: Mapping[int, KeyRow],
) -> Explanation:
    """
    Describe a sealed cookie, valid or invalid.

    Parameters
    ----------
    sealed
        Sealed cookie.
    flow
        Flow id.
    keys
        Published sealing keys.

    Returns
    -------
    Explanation
        Key, verdict and fields. The fields of an invalid cookie are shown if
        they can be decoded, but are not trustworthy.
    """
    sealer = CookieSealer()
    sealer.set_keys(dict(keys))
    opened = sealer.open(FlowId(flow), sealed)
    is_valid = isinstance(opened, Success)
    return Explanation(
        key_id=sealed[0] if sealed else None,
        key_state=_key_state(keys.get(sealed[0]) if sealed else None),
        is_valid=is_valid,
        verdict='valid' if is_valid else VERDICT_TEXTS[opened.failure()],
        fields=tuple(_decode_fields(sealed[1 + MAC_BYTES :])),
    )


def _key_state(key: KeyRow | None) -> str:
    if key is None:
        return 'not published'
    return 'current' if key.is_current else 'accepted'


def _decode_fields(body: bytes) -> Iterator[tuple[str, str]]:
    if not body:
        return
    try:
        cookie = Cookie.FromString(body)
    except DecodeError:
        return
    for descriptor in Cookie.DESCRIPTOR.fields:
        yield descriptor.name, str(getattr(cookie, descriptor.name))
