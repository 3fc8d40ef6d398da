"""
Forwarding instance with one deliberate defect: ``python -m tools.broken_forwarding``.

The packet soak starts it in place of the regular program and must report a broken
guarantee. Without the name of a defect, the command prints the names of all defects.
"""

import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'platform'))

import main as program
import settings
import store
from entries import EntryDecoder

from cardamomtiller.forwarding import endpoints
from cardamomtiller.forwarding.process import ForwardingProcess
from cardamomtiller.forwarding.published import directory, upstreams
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    NO_REVISION,
    MalformedRecord,
)
from cardamomtiller.forwarding.replication.following import Follower
from cardamomtiller.forwarding.routing.forwarder import Forwarder
from cardamomtiller.forwarding.routing.observing import Observer

RESET_EVERY = 20
MISDIRECT_EVERY = 10
STALL_AFTER_S = 10
STALL_S = 2


def place_on_draining() -> None:
    """Treat draining upstreams as ready, so that they receive new flows."""
    build_pools = directory.UpstreamDirectory._build_pools

    def build_with_draining(upstream_directory):  # type: ignore[no-untyped-def]
        for upstream in upstream_directory:
            if upstream.state is upstreams.UpstreamState.DRAINING:
                upstream.state = upstreams.UpstreamState.READY
        return build_pools(upstream_directory)

    directory.UpstreamDirectory._build_pools = build_with_draining  # type: ignore[method-assign]


def reset_living() -> None:
    """Report some checks of upstreams as unreachable, so that flows are reset."""
    call_count = 0

    def is_unreachable(_observer, _upstream):  # type: ignore[no-untyped-def]
        nonlocal call_count
        call_count += 1
        return call_count % RESET_EVERY == 0

    Observer.is_unreachable = is_unreachable  # type: ignore[method-assign]


def misdirect() -> None:
    """Send some packets of open flows to an upstream that their token does not name."""
    call_count = 0
    find_by_token = directory.UpstreamDirectory.by_token

    def by_token(upstream_directory, token):  # type: ignore[no-untyped-def]
        nonlocal call_count
        call_count += 1
        if call_count % MISDIRECT_EVERY:
            return find_by_token(upstream_directory, token)
        return next(iter(upstream_directory), None)

    directory.UpstreamDirectory.by_token = by_token  # type: ignore[method-assign]


def keep_first_configuration() -> None:
    """Ignore all configurations after the first one that has routes."""
    apply = Forwarder.apply_configuration

    def apply_first(forwarder, configuration, now_ms):  # type: ignore[no-untyped-def]
        if not forwarder.configuration.routes:
            apply(forwarder, configuration, now_ms)

    Forwarder.apply_configuration = apply_first  # type: ignore[method-assign]


def read_once() -> None:
    """Read the records of the store once at the start and follow no changes."""

    def run(follower):  # type: ignore[no-untyped-def]
        while follower._revision == NO_REVISION:
            follower._read_once()
            time.sleep(0.1)

    Follower._run = run  # type: ignore[method-assign]


def wait_for_peers() -> None:
    """Wait for the replicas of peers for longer than a change may take."""
    settings.MAX_AGE_SHARE = 3
    settings.END_AGE_SHARES = (3, 4, 5)


def end_on_hang_up() -> None:
    """Install no handler for SIGHUP, so that the signal terminates the process."""

    def handle_signals(process):  # type: ignore[no-untyped-def]
        signal.signal(signal.SIGTERM, process._request_stop)

    ForwardingProcess._handle_signals = handle_signals  # type: ignore[method-assign]


def keep_malformed() -> None:
    """Report a malformed entry without its upstream, so that the upstream stays in use."""
    decode = EntryDecoder.decode

    def decode_without_upstream(decoder, record):  # type: ignore[no-untyped-def]
        change = decode(decoder, record)
        if isinstance(change, MalformedRecord):
            return change._replace(upstream=None)
        return change

    EntryDecoder.decode = decode_without_upstream  # type: ignore[method-assign]


def ignore_epochs() -> None:
    """Compare revisions of the store from before and after a restore."""
    store._read_epoch = lambda _response: NO_EPOCH


def stall() -> None:
    """Block the main loop for seconds in each tick, some time after the start."""
    tick = endpoints.Endpoints.tick
    started_s = time.monotonic()

    def tick_slowly(instance_endpoints, now_ms):  # type: ignore[no-untyped-def]
        if time.monotonic() - started_s > STALL_AFTER_S:
            time.sleep(STALL_S)
        return tick(instance_endpoints, now_ms)

    endpoints.Endpoints.tick = tick_slowly  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    'place_on_draining': place_on_draining,
    'reset_living': reset_living,
    'misdirect': misdirect,
    'keep_first_configuration': keep_first_configuration,
    'read_once': read_once,
    'wait_for_peers': wait_for_peers,
    'end_on_hang_up': end_on_hang_up,
    'keep_malformed': keep_malformed,
    'ignore_epochs': ignore_epochs,
    'stall': stall,
}


def main() -> int:
    """Start an instance with the named defect, or list all defects."""
    names = sys.argv[1:]
    if not names:
        print('\n'.join(DEFECTS))
        return 0
    DEFECTS[names[0]]()
    program.main()
    return 0


if __name__ == '__main__':
    sys.exit(main())
