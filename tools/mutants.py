"""Check that the tests of the data path detect deliberate faults.

Each mutant replaces one attribute of a production module or of a stand-in by a
faulty variant. Its trial must report a fault with the mutant and none without it.
The result of each mutant is ``caught`` or ``survived``. The exit code is 1 if a
mutant survived, if a trial fails without its mutant or if no mutant matches.

Usage: ``python -m tools.mutants [WORD ...]`` runs mutants whose name contains a WORD.
"""

import contextlib
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from loguru import logger

from cardamomtiller.client import Client
from cardamomtiller.datagrams import cookie as cookie_module
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.routing import Router
from cardamomtiller.entrance.selection import Selection
from cardamomtiller.identity import Outcome
from cardamomtiller.lists.snapshot import SnapshotStore
from cardamomtiller.serving.home import Home
from cardamomtiller.serving.record import DuplicateRecord, RecordState
from cardamomtiller.serving.request import Completion, RequestState
from cardamomtiller.serving.requestserving import RequestServer
from cardamomtiller.serving.serving import ServedUpstream
from cardamomtiller.wire_pb2 import AnswerStatus, Reason
from tests import mutant_trials as trials
from tools.standins.upstream import Upstream

Trial = Callable[[], tuple[str, ...]]


@dataclass(frozen=True)
class Mutant:
    """Attribute to replace, its faulty variant and the trial that must fail."""

    name: str
    owner: Any
    attribute: str
    make_replacement: Callable[[Any], Any]
    trial: Trial


def _report_new_unless_running(original):
    def look_up(self, request, generation):
        # Running requests keep their state: otherwise an invariant fails in every run.
        state = original(self, request, generation)
        return state if state is RecordState.RUNNING else RecordState.NEW

    return look_up


def _check_without_fencing(original):
    def fence(self, request, generation, now_ms):
        return self.look_up(request, generation) in {
            RecordState.NEW,
            RecordState.FENCED,
        }

    return fence


def _skip_fencing(original):
    def fence_queued(self, request, generation, now_ms):
        """Do not record the request as fenced."""

    return fence_queued


def _ignore_generation(original):
    def find_flow(self, received, now_ms):
        flow = self.home.flow_table.flows_by_id.get(received.flow_id)
        return flow or original(self, received, now_ms)

    return find_flow


def _accept_stale_generation(original):
    def refusal(self, message):
        reason = original(self, message)
        return None if reason == Reason.REASON_STALE_GENERATION else reason

    return refusal


def _answer_lost_as_not_run(original):
    def handle_lost_run(self, request, now_ms):
        if request.is_idempotent:
            original(self, request, now_ms)
            return
        self._finish_run(request, Outcome.FAILED, now_ms)
        status = AnswerStatus.ANSWER_STATUS_NOT_RUN
        self._complete(request, Completion(status, Reason.REASON_LINK_LOST), now_ms)

    return handle_lost_run


def _retry_lost_run(original):
    def handle_lost_run(self, request, now_ms):
        is_idempotent = request.is_idempotent
        request.is_idempotent = True
        original(self, request, now_ms)
        request.is_idempotent = is_idempotent

    return handle_lost_run


def _ignore_socket_service(original):
    def route_cookie(self, inbound, cookie):
        return original(self, replace(inbound, service=cookie.service), cookie)

    return route_cookie


def _accept_any_hello(original):
    def handle_up(self, hello):
        hello.service, hello.upstream = self.row.service, self.row.name
        original(self, hello)

    return handle_up


def _accept_any_answer(original):
    def handle_answer(self, packet):
        outgoing_request = self._outgoing.get(packet.answer.request_id)
        if outgoing_request:
            packet.generation = outgoing_request.generation
        original(self, packet)

    return handle_answer


def _extend_deadline(original):
    def run(self, work, now_ms):
        request = self.requests.get(work.request)
        if request:
            request.deadline_ms += trials.HOUR_MS
        original(self, work, now_ms)

    return run


def _accept_lower_version(original):
    def offer(self, document, now_ms):
        self._held.pop(document.name, None)
        return original(self, document, now_ms)

    return offer


def _cancel_on_stop(original):
    def retire(self, now_ms):
        original(self, now_ms)
        for request in tuple(self.requests.values()):
            if request.state is RequestState.RUNNING:
                self._cancel_request(request, now_ms)

    return retire


def _accept_any_mac(original):
    return SimpleNamespace(compare_digest=lambda expected, found: True)


def _select_leaving(original):
    def update_eligible(self):
        original(self)
        self._eligible = tuple(self._upstreams.values())

    return update_eligible


def _drop_previous_keys(original):
    def set_keys(self, keys):
        original(self, {name: row for name, row in keys.items() if row.is_current})

    return set_keys


def _skip_refresh(original):
    def send_cookie(self, row, packet, now_ms):
        is_for_request = packet.refresh.request_id
        if packet.WhichOneof('body') != 'refresh' or is_for_request:
            original(self, row, packet, now_ms)

    return send_cookie


MUTANTS = (
    Mutant(
        'duplicate record answers NEW for every ended request',
        DuplicateRecord,
        'look_up',
        _report_new_unless_running,
        trials.run_seeds('lose_packets', seeds=trials.SEEDS),
    ),
    Mutant(
        'Moved is sent without fencing the request',
        DuplicateRecord,
        'fence',
        _check_without_fencing,
        trials.moved_request_repeated,
    ),
    Mutant(
        'Moved is sent for a queued request without fencing it',
        DuplicateRecord,
        'fence_queued',
        _skip_fencing,
        trials.moved_queued_request_repeated,
    ),
    Mutant(
        'home ignores generations',
        ServedUpstream,
        '_find_flow',
        _ignore_generation,
        trials.request_under_stale_generation,
    ),
    Mutant(
        'upstream stand-in ignores generations',
        Upstream,
        '_refusal',
        _accept_stale_generation,
        trials.former_home_sends_late_run,
    ),
    Mutant(
        'upstream stand-in ignores generations, in a random run',
        Upstream,
        '_refusal',
        _accept_stale_generation,
        trials.run_seeds(
            'pause', 'flap_views', 'lose_packets', seeds=trials.FENCING_SEEDS
        ),
    ),
    Mutant(
        'lost run of a non-idempotent request is answered as not run',
        RequestServer,
        '_handle_lost_run',
        _answer_lost_as_not_run,
        trials.run_seeds('break_link', seeds=trials.SEEDS),
    ),
    Mutant(
        'lost run of a non-idempotent request is retried',
        RequestServer,
        '_handle_lost_run',
        _retry_lost_run,
        trials.run_seeds('break_link', seeds=trials.SEEDS),
    ),
    Mutant(
        'router ignores the service of the socket',
        Router,
        '_route_cookie',
        _ignore_socket_service,
        trials.cookie_on_wrong_socket,
    ),
    Mutant(
        'home does not check the service of the hello',
        ServedUpstream,
        'handle_up',
        _accept_any_hello,
        trials.wrong_upstream_connects,
    ),
    Mutant(
        'client takes answers of any generation',
        Client,
        '_handle_answer',
        _accept_any_answer,
        trials.answer_of_stale_generation,
    ),
    Mutant(
        'deadline is not checked before a run',
        RequestServer,
        '_run',
        _extend_deadline,
        trials.pause_before_run,
    ),
    Mutant(
        'snapshot takes lower versions',
        SnapshotStore,
        'offer',
        _accept_lower_version,
        trials.older_document_arrives,
    ),
    Mutant(
        'graceful stop cuts running requests off',
        RequestServer,
        'retire',
        _cancel_on_stop,
        trials.run_seeds('stop', seeds=trials.SEEDS),
    ),
    Mutant(
        'MAC of cookies is not checked',
        cookie_module,
        'hmac',
        _accept_any_mac,
        trials.forged_cookie,
    ),
    Mutant(
        'leaving upstreams are chosen for new flows',
        Selection,
        '_update_eligible',
        _select_leaving,
        trials.without_leaving_check(
            trials.run_seeds('drain_upstream', seconds=12, seeds=trials.SEEDS),
        ),
    ),
    Mutant(
        'only the current sealing key opens cookies',
        CookieSealer,
        'set_keys',
        _drop_previous_keys,
        trials.run_seeds('rotate_key', seconds=20, seeds=trials.SEEDS),
    ),
    Mutant(
        'keepalives do not refresh cookies',
        Home,
        'send_cookie',
        _skip_refresh,
        trials.run_seeds('rotate_key', seconds=20, seeds=trials.SEEDS),
    ),
)


def main() -> int:
    """Run the selected mutants; return 1 unless all are caught."""
    logger.disable('cardamomtiller')
    words = sys.argv[1:]
    selected = [mutant for mutant in MUTANTS if not words or _has_word(mutant, words)]
    faults_without_mutant = {mutant.trial: mutant.trial() for mutant in selected}
    failed_count = 0
    for mutant in selected:
        start_s = time.monotonic()
        faults = faults_without_mutant[mutant.trial]
        if faults:
            result = 'trial fails without the mutant'
        else:
            with _apply(mutant):
                faults = mutant.trial()
            result = 'caught' if faults else 'survived'
        failed_count += result != 'caught'
        duration_s = time.monotonic() - start_s
        print(f'{result}: {mutant.name} ({duration_s:.1f} s)')
        for fault in faults:
            print(f'  {fault:.160}')
    print(f'{len(selected) - failed_count} caught, {failed_count} not caught')
    return 1 if failed_count or not selected else 0


def _has_word(mutant: Mutant, words: list[str]) -> bool:
    return any(word in mutant.name for word in words)


@contextlib.contextmanager
def _apply(mutant: Mutant) -> Iterator[None]:
    original = getattr(mutant.owner, mutant.attribute)
    with mock.patch.object(
        mutant.owner, mutant.attribute, mutant.make_replacement(original)
    ):
        yield


if __name__ == '__main__':
    sys.exit(main())
