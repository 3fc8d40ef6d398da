"""Peer exchange: announcements, load reports, and replies with replica changes."""

import socket
from math import isfinite
from typing import NamedTuple

from cardamomtiller.forwarding.fleet.loadreport import (
    LoadReport,
    ReportError,
    decode_report,
    encode_report,
    is_report,
)
from cardamomtiller.forwarding.fleet.loadsharing import LoadSharing, SharingOptions
from cardamomtiller.forwarding.fleet.membertable import (
    AnnouncementError,
    FleetOptions,
    MemberTable,
    decode_announcement,
    encode_announcement,
)
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.published.records import Batch, Revision
from cardamomtiller.forwarding.replication.peersource import PeerReply, encode_reply
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.sockets.httpserver import Reply, Request
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.valuetext import describe
from cardamomtiller.ids import DomainName

MAX_DATAGRAM_BYTES = 65_535
MAX_DATAGRAMS_PER_CALL = 64
MAX_WAIT_MS = 5000.0
MALFORMED_REQUEST = Reply(
    400,
    'text/plain',
    b'after must be a revision, wait_ms and max_age_ms finite numbers\n',
)
REPLICA_NOT_READY = Reply(503, 'text/plain', b'no replica yet\n')


class ExchangeOptions(NamedTuple):
    """Identity of this instance, its seeds, and options of the two protocols."""

    local_member: Member
    internal_port: int
    seeds: tuple[str, ...]
    fleet: FleetOptions
    sharing: SharingOptions


class PeerExchange:
    """
    Keeps the member table up to date and serves the replica to peers.

    Announcements and load reports share one UDP socket on the internal port.
    """

    def __init__(
        self,
        options: ExchangeOptions,
        replica: Replica,
        loads: LoadTable,
        log: DecisionLog,
        meters: Meters,
        now_ms: float,
    ) -> None:
        """Bind the UDP socket for announcements and load reports."""
        self._options = options
        self._replica = replica
        self._log = log
        self._meters = meters
        self._started_ms = now_ms
        self.seeds = options.seeds
        self._next_announcement_ms = now_ms
        self.member_table = MemberTable(options.local_member, options.fleet)
        self._sharing = LoadSharing(options.local_member, loads, options.sharing)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((options.local_member.host, options.internal_port))
        self._socket.setblocking(False)

    @property
    def descriptor(self) -> int:
        """Descriptor of the UDP socket."""
        return self._socket.fileno()

    def receive(self, now_ms: float) -> None:
        """Handle the datagrams that have arrived, up to a limit per call."""
        for _ in range(MAX_DATAGRAMS_PER_CALL):
            try:
                datagram, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports here that an earlier datagram was refused,
                # because no process listens at its destination.
                self._meters.count('announcements_unreachable')
                continue
            if is_report(datagram):
                self._handle_load_report(datagram, address[0], now_ms)
            else:
                self._handle_announcement(datagram, address[0], now_ms)

    def announce(self, now_ms: float) -> None:
        """Send an announcement to the next receivers if the interval has passed."""
        if now_ms < self._next_announcement_ms:
            return
        age_ms = now_ms - self._started_ms
        interval_ms = self.member_table.interval_ms(age_ms)
        self._next_announcement_ms = now_ms + interval_ms
        self.member_table.expire(now_ms)
        has_no_peers = not self.member_table.peers()
        for host, domain in self.member_table.next_receivers(self.seeds, age_ms):
            self._send_announcement(host, domain, now_ms, is_reply_wanted=has_no_peers)

    def send_load_reports(self, now_ms: float) -> None:
        """Update the load of the other instances and send due reports."""
        self._sharing.update_loads(now_ms)
        for member, report in self._sharing.due_reports(
            self.member_table.members(), now_ms
        ):
            self._send_load_report(member.host, report)

    def announce_leave(self, now_ms: float) -> None:
        """Announce to all peers that this instance is about to stop."""
        for peer in self.member_table.peers():
            self._send_announcement(peer.host, peer.domain, now_ms, is_leaving=True)

    def fleet_size(self, now_ms: float) -> int | None:
        """Return the number of instances, None while they are still unknown."""
        if now_ms - self._started_ms < self._options.fleet.discovery_ms:
            return None
        return self.member_table.fleet_size()

    def answer_changes(self, request: Request, now_ms: float) -> Reply | None:
        """
        Answer a peer that reads the replica.

        Returns
        -------
        Reply or None
            The changes after the peer's revision; None while there are none, the
            requested wait has not ended, and the replica may still be confirmed before
            it is too old for the peer.
        """
        try:
            after = Revision.parse(request.query['after'])
            wait_ms = min(_read_ms(request.query['wait_ms']), MAX_WAIT_MS)
            max_age_ms = _read_ms(request.query['max_age_ms'])
        except (KeyError, ValueError):
            return MALFORMED_REQUEST
        if not self._replica.is_complete:
            return REPLICA_NOT_READY
        is_wait_over = (
            now_ms >= request.received_ms + wait_ms
            or self._replica.is_confirmed_since(request.received_ms)
            or self._replica.age_ms(now_ms) >= max_age_ms
        )
        if self._replica.revision <= after and not is_wait_over:
            return None
        return self._encode_batch(self._replica.changes_after(after), request, now_ms)

    def answer_retained(self, request: Request, now_ms: float) -> Reply:
        """Answer a peer that asks what this instance kept across a restore."""
        return self._encode_batch(self._replica.retained(now_ms), request, now_ms)

    def _encode_batch(self, batch: Batch, request: Request, now_ms: float) -> Reply:
        age_ms = max(0, self._replica.age_ms(now_ms))
        waited_ms = max(0, now_ms - request.received_ms)
        body = encode_reply(PeerReply(batch, age_ms, waited_ms))
        self._meters.count('peer_replies')
        self._meters.count('peer_reply_bytes', len(body))
        return Reply(200, 'application/octet-stream', body)

    def _handle_announcement(self, datagram: bytes, host: str, now_ms: float) -> None:
        try:
            announcement = decode_announcement(datagram)
        except AnnouncementError as error:
            self._meters.count('announcements_malformed')
            self._log.write(
                'announcement_malformed', now_ms, host=host, error=str(error)
            )
            return
        sender = announcement.sender
        is_new = self.member_table.handle_announcement(announcement, now_ms)
        if is_new or announcement.is_leaving:
            self._log.write(
                'member_leaving' if announcement.is_leaving else 'member_found',
                now_ms,
                member=sender.instance,
                domain=sender.domain,
                host=sender.host,
                members=len(self.member_table),
            )
        if announcement.is_reply_wanted:
            self._send_announcement(sender.host, sender.domain, now_ms)

    def _handle_load_report(self, datagram: bytes, host: str, now_ms: float) -> None:
        sender = self.member_table.find(host)
        if sender is None:
            self._meters.count('load_reports_of_strangers')
            return
        try:
            report = decode_report(datagram)
        except ReportError as error:
            self._meters.count('load_reports_malformed')
            self._log.write(
                'load_report_malformed', now_ms, host=host, error=str(error)
            )
            return
        self.member_table.record_contact(host, now_ms)
        answer = self._sharing.handle_report(sender, report, now_ms)
        if answer is not None:
            self._send_load_report(host, answer)

    def _send_load_report(self, host: str, report: LoadReport) -> None:
        datagram = encode_report(report)
        try:
            self._socket.sendto(datagram, (host, self._options.internal_port))
        except OSError:
            self._meters.count('load_reports_unsent')
            return
        self._meters.count('load_reports_sent')
        self._meters.count('load_report_bytes', len(datagram))

    def _send_announcement(
        self,
        host: str,
        domain: DomainName,
        now_ms: float,
        *,
        is_reply_wanted: bool = False,
        is_leaving: bool = False,
    ) -> None:
        announcement = self.member_table.build_announcement(
            domain,
            now_ms,
            is_reply_wanted=is_reply_wanted,
            is_leaving=is_leaving,
        )
        datagram = encode_announcement(announcement)
        try:
            self._socket.sendto(datagram, (host, self._options.internal_port))
        except OSError:
            self._meters.count('announcements_unsent')
            return
        self._meters.count('announcements_sent')
        self._meters.count('announcement_bytes', len(datagram))


def _read_ms(text: str) -> float:
    duration_ms = float(text)
    if not isfinite(duration_ms):
        raise ValueError(f'{describe(text)} is not a finite number')
    return duration_ms
