"""Handling of received messages: first the claims in them, then the request that they make.

Dropped messages and rows are counted by cause: `malformed` (no kind, or impossible fields), `out_of_range` (a
row or sender out of bounds), `own_name` (sent under this member's name), `old_incarnation` and `final_state`
(from an incarnation that has ended; its sender is notified), `table_full`, `misrouted` (for another member),
`unexpected_ack`, `too_many_relayed` (pings for other members).
"""

from typing import TYPE_CHECKING

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import Member
from lichenquay.membership.message_format import (
    MAX_INCARNATION,
    PARTITION_COUNT,
    is_valid_name,
    is_valid_row,
    record_of,
)
from lichenquay.membership.probing import AckKind, AckResult

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

RELAYED_PING_PERIOD_DIVISOR = 3  # A relayed ping may take a third of a probe period.


class MessageHandler:
    """Handles received messages for one failure detector."""

    def __init__(self, detector: "FailureDetector"):
        """Creates the handler of a detector."""
        self.detector = detector
        self.name = detector.name
        self.table = detector.table
        self.counts = detector.counts
        self._handlers = {
            "ping": self._on_ping,
            "ping_ask": self._on_ping_request,
            "ack": self._on_ack,
            "join": self._on_join,
            "leave": self._on_rows_only,
            "sync": self._on_sync,
            "piece": self._on_partition_rows,
            "gossip": self._on_rows_only,
        }

    def handle(self, sender: str, incarnation: int, message: pb.Message) -> None:
        """Handles one message. Never raises on message content."""
        kind = message.WhichOneof("kind")
        if kind is None:
            self.counts["malformed"] += 1
            return
        if not is_valid_name(sender) or not 0 < incarnation < MAX_INCARNATION:
            self.counts["out_of_range"] += 1
            return
        sender_row = pb.Row(name=sender, incarnation=incarnation, word=message.word, state=message.state)
        if sender == self.name:
            self._on_own_name(sender_row)
            return
        if self._count_if_ended(sender, incarnation):
            self._notify_ended_sender(sender, kind, message)
            return
        if not self._apply_row(sender_row, True, incarnation):
            return
        for row in message.rows:
            self._apply_row(row, should_gossip=kind != "piece")
            if self.detector.end_reason:
                return
        self._handlers[kind](sender, getattr(message, kind), message)

    def _on_own_name(self, sender_row: pb.Row) -> None:
        """Handles a message of another process with this member's name; the higher incarnation is valid."""
        self.counts["own_name"] += 1
        if sender_row.incarnation > self.detector.incarnation and is_valid_row(
            sender_row, sender_row.incarnation
        ):
            self.detector.own_membership.on_claim(record_of(sender_row))

    def _count_if_ended(self, sender: str, incarnation: int) -> bool:
        """Returns whether the sender's incarnation has ended, and counts the cause."""
        member = self.table.get(sender)
        if member is None or incarnation > member.incarnation:
            return False
        if incarnation < member.incarnation:
            self.counts["old_incarnation"] += 1
            return True
        if member.state.is_final:
            self.counts["final_state"] += 1
            return True
        return False

    def _notify_ended_sender(self, sender: str, kind: str, message: pb.Message) -> None:
        if kind != "leave" and message.state < MemberState.LEFT.number:
            required = [self.table.get(sender)]
            notice = pb.Message(gossip=pb.Gossip())
            self.detector.messenger.send(sender, notice, required, with_gossip=False)

    def _apply_row(self, row: pb.Row, should_gossip: bool, known_incarnation: int = 0) -> bool:
        """Applies one row; returns False if it is out of bounds or there is no room for its name."""
        member = self.table.get(row.name)
        if not is_valid_row(row, known_incarnation or (member.incarnation if member else 0)):
            self.counts["out_of_range"] += 1
            return False
        record = record_of(row)
        if record.name == self.name:
            self.detector.own_membership.on_claim(record)
            return True
        if self.table.has_no_room_for(record.name):
            self.counts["table_full"] += 1
            return False
        is_newer = self.table.apply(self.detector.now_ms, record)
        member = self.table.get(record.name)
        if is_newer:
            self._on_newer_record(member, should_gossip)
        is_suspicion = record.state is MemberState.SUSPECT
        if is_suspicion and record.precedence == member.precedence:
            self.detector.suspicion.on_accusation(member, row, is_first=is_newer)
        return True

    def _on_newer_record(self, member: Member, should_gossip: bool) -> None:
        is_suspect_or_faulty = member.state in (MemberState.SUSPECT, MemberState.FAULTY)
        if is_suspect_or_faulty:
            self.detector.suspicion.schedule_for(member)
        if should_gossip:
            self.detector.gossip.add_update(member.name, immediately=is_suspect_or_faulty)
        else:
            self.detector.anti_entropy.schedule_soon()

    def _on_ping(self, sender: str, ping: pb.Ping, _: pb.Message) -> None:
        if ping.name != self.name:
            self.counts["misrouted"] += 1
            return
        ack = pb.Ack(no=ping.no, name=self.name, incarnation=self.detector.incarnation, ok=True)
        self.detector.messenger.send_with_status(sender, pb.Message(ack=ack))

    def _on_ping_request(self, sender: str, request: pb.PingAsk, _: pb.Message) -> None:
        target = self.table.get(request.name)
        if target is None or target.state.is_final or request.name in (self.name, sender):
            self.counts["misrouted"] += 1
            return
        duration_ms = self.detector.settings.probe_period_ms / RELAYED_PING_PERIOD_DIVISOR
        if not self.detector.prober.relay_ping(sender, request.no, request.name, duration_ms):
            self.counts["too_many_relayed"] += 1

    def _on_ack(self, sender: str, ack: pb.Ack, _: pb.Message) -> None:
        result = self.detector.prober.on_ack(sender, ack)
        if result.kind is AckKind.UNEXPECTED:
            self.counts["unexpected_ack"] += 1
            return
        if result.kind is not AckKind.NEGATIVE:
            self._on_positive_ack(ack, result)
        self.detector.health.record_ack(self.detector.now_ms)
        self.detector.own_membership.rejoin_if_due()

    def _on_positive_ack(self, ack: pb.Ack, result: AckResult) -> None:
        member, now_ms = self.table.get(ack.name), self.detector.now_ms
        if ack.incarnation == member.incarnation:
            member.last_response_ms = now_ms
            if result.kind is AckKind.INDIRECT:
                member.missed_probes += 1
            else:
                member.last_direct_response_ms = now_ms
                member.missed_probes = 0
        if result.relayed_ping is None:
            self.detector.health.improve()
            return
        relayed = pb.Ack(
            no=result.relayed_ping.requested_number, name=ack.name, incarnation=ack.incarnation, ok=True
        )
        requester = result.relayed_ping.requester
        self.detector.messenger.send_with_status(requester, pb.Message(ack=relayed), subject=ack.name)

    def _on_join(self, sender: str, _join: pb.Join, _: pb.Message) -> None:
        self.detector.anti_entropy.send_digests(sender)

    def _on_rows_only(self, _sender: str, _body: pb.Leave | pb.Gossip, _: pb.Message) -> None:
        """Does nothing: leave and gossip messages carry only rows."""

    def _on_sync(self, sender: str, sync: pb.Sync, _: pb.Message) -> None:
        if len(sync.digests) != PARTITION_COUNT:
            self.counts["malformed"] += 1
            return
        self.detector.anti_entropy.on_digests(sender, sync.digests)

    def _on_partition_rows(self, sender: str, piece: pb.Piece, message: pb.Message) -> None:
        if any(partition >= PARTITION_COUNT for partition in piece.parts):
            self.counts["malformed"] += 1
            return
        self.detector.anti_entropy.on_partition_rows(sender, piece, message.rows)
