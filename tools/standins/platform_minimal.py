"""Minimal configuration service: versions, reads and pending watches.

It is used until the full stand-in of the platform is there.
"""

import argparse
import asyncio
import contextlib

from cardamomtiller.identity import parse_endpoint
from tools.standins.admin import AdminAnswer, AdminRequest, serve_admin

VERSION_HEADER = 'X-Document-Version'


class Platform:
    """Documents by name, with one revision over all of them."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.documents: dict[str, tuple[int, str]] = {}
        self.is_down = False
        self.requests = 0
        self._changed = asyncio.Event()

    async def list(self, request: AdminRequest) -> AdminAnswer:
        """Answer a watch."""
        self._check_up()
        after = int(request.query.get('after', '-1'))
        wait_s = float(request.query.get('wait_ms', '0')) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    await self._changed.wait()
        self._check_up()
        versions = {name: row[0] for name, row in self.documents.items()}
        return AdminAnswer({'revision': self.revision, 'documents': versions})

    def read(self, request: AdminRequest) -> AdminAnswer:
        """Answer a read."""
        self._check_up()
        name = request.path.rpartition('/')[2]
        if name not in self.documents:
            return AdminAnswer({'error': 'not found'}, status=404)
        version, text = self.documents[name]
        return AdminAnswer(text, headers={VERSION_HEADER: str(version)})

    def publish(self, request: AdminRequest) -> AdminAnswer:
        """Set the next version of a document."""
        name = request.query['name']
        version = self.documents.get(name, (0, ''))[0] + 1
        self.documents[name] = (version, request.body.decode())
        self.revision += 1
        self._wake()
        return AdminAnswer({'version': version, 'revision': self.revision})

    def set(self, request: AdminRequest) -> AdminAnswer:
        """Switch an outage on or off."""
        self.is_down = request.query['is_down'] == '1'
        self._wake()
        return AdminAnswer({'is_down': self.is_down})

    def stats(self, _request: AdminRequest) -> AdminAnswer:
        """Return the counters."""
        return AdminAnswer({'requests': self.requests, 'revision': self.revision})

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_up(self) -> None:
        self.requests += 1
        if self.is_down:
            raise ConnectionError('outage')


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled."""
    platform = Platform()
    readers = {
        ('GET', '/v1/documents'): platform.list,
        ('GET', '/v1/documents/'): platform.read,
    }
    controls = {
        ('POST', '/publish'): platform.publish,
        ('POST', '/set'): platform.set,
        ('GET', '/stats'): platform.stats,
    }
    await serve_admin(parse_endpoint(options.listen).as_pair(), readers)
    await serve_admin(parse_endpoint(options.admin).as_pair(), controls)
    await asyncio.Event().wait()


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True, help='HOST:PORT of the readers')
    parser.add_argument('--admin', required=True, help='HOST:PORT')
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
