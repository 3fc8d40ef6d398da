"""Serve a folder of lists as a small configuration service, for local trials.

The version of a list is the modification time of its file in milliseconds, so an
edited list is published when its file is saved.
"""

import argparse
import json
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

from cardamomtiller.identity import MS_PER_S, parse_endpoint

LIST_PATH = '/v1/documents'
VERSION_HEADER = 'X-Document-Version'
POLL_INTERVAL_S = 0.1
MAX_WAIT_S = 300


class ListsHandler(BaseHTTPRequestHandler):
    """HTTP handler that lists, watches and reads the lists of a folder."""

    folder = Path()

    def do_GET(self) -> None:
        """Answer with the list versions, after a wait for changes, or with one list."""
        url = urlsplit(self.path)
        if url.path == LIST_PATH:
            query = parse_qs(url.query)
            after_revision = int(query.get('after', ['-1'])[0])
            wait_s = float(query.get('wait_ms', ['0'])[0]) / MS_PER_S
            self._answer(json.dumps(self._watch(after_revision, wait_s)).encode())
            return
        name = unquote(url.path.removeprefix(f'{LIST_PATH}/'))
        version = self._versions().get(name)
        if version is None:
            self.send_error(404)
            return
        content = (self.folder / f'{name}.ini').read_bytes()
        self._answer(content, version)

    def log_message(self, *_arguments: object) -> None:
        """Disable the access log."""

    def _watch(self, after_revision: int, wait_s: float) -> dict[str, object]:
        until_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        versions = self._versions()
        while self._revision(versions) <= after_revision and time.monotonic() < until_s:
            time.sleep(POLL_INTERVAL_S)
            versions = self._versions()
        return {'revision': self._revision(versions), 'documents': versions}

    def _revision(self, versions: dict[str, int]) -> int:
        return max(versions.values(), default=0)

    def _versions(self) -> dict[str, int]:
        return {
            path.name.removesuffix('.ini'): int(path.stat().st_mtime * MS_PER_S)
            for path in self.folder.glob('*.ini')
        }

    def _answer(self, body: bytes, version: int | None = None) -> None:
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        if version is not None:
            self.send_header(VERSION_HEADER, str(version))
        self.end_headers()
        self.wfile.write(body)


def main() -> None:
    """Parse the command line and serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--folder', required=True, type=Path, help='folder of NAME.ini')
    parser.add_argument('--listen', default='127.0.0.1:9400', help='HOST:PORT')
    options = parser.parse_args()
    ListsHandler.folder = options.folder
    address = parse_endpoint(options.listen).as_pair()
    try:
        ThreadingHTTPServer(address, ListsHandler).serve_forever()
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    main()
