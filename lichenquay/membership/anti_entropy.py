"""Anti-entropy: the table is compared with one member's at a time and the differences are exchanged.

A comparison sends one digest for each partition. Partitions that differ are sent in at most
`MAX_SYNC_MESSAGES` messages each way.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_state import precedence
from lichenquay.membership.message_format import (
    MAX_BODY_BYTES,
    PARTITION_COUNT,
    ROW_OVERHEAD_BYTES,
    append_rows,
)

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
MAX_SYNC_MESSAGES = 16
MAX_PARTITIONS_AT_ONCE = 8
PARTITIONS_OVERHEAD_BYTES = 120  # Of a message with whole partitions, beside its rows.
RANGE_OVERHEAD_BYTES = 220  # Of a message with a range of names, which holds two names.


@dataclass
class _Batch:
    """Whole partitions that go into one message."""

    partitions: list[int] = field(default_factory=list)
    rows: list[pb.Row] = field(default_factory=list)
    free_bytes: int = MAX_BODY_BYTES - PARTITIONS_OVERHEAD_BYTES


class AntiEntropy:
    """Periodic comparison of this member's table with that of another member."""

    def __init__(self, detector: "FailureDetector"):
        """Start without a comparison planned."""
        self.detector = detector
        self.table = detector.table
        self.rng = detector.rng
        self.next_sync_ms = INF

    def sync(self, now_ms: float) -> None:
        """Begin a comparison with one live member."""
        messenger = self.detector.messenger
        for name in messenger.sample_live(1):
            self.send_digests(name)
        self.next_sync_ms = now_ms + messenger.jitter(self.detector.settings.sync_interval_ms)

    def schedule_soon(self) -> None:
        """Compare again within a probe period, as tables differed."""
        delay_ms = self.detector.messenger.jitter(self.detector.settings.probe_period_ms)
        self.next_sync_ms = min(self.next_sync_ms, self.detector.now_ms + delay_ms)

    def send_digests(self, receiver: str) -> None:
        """Send the digest of each partition."""
        sync = pb.Sync(digests=self.table.partition_digests)
        self.detector.messenger.send(receiver, pb.Message(sync=sync), with_gossip=False)

    def on_digests(self, sender: str, digests: Sequence[int]) -> None:
        """Answer with the rows of some partitions that differ."""
        differing = [
            partition
            for partition in range(PARTITION_COUNT)
            if digests[partition] != self.table.partition_digests[partition]
        ]
        if not differing:
            return
        self.schedule_soon()
        count = min(len(differing), MAX_PARTITIONS_AT_ONCE)
        self._send_partitions(sender, sorted(self.rng.sample(differing, count)))

    def _send_partitions(self, receiver: str, partitions: Iterable[int]) -> None:
        """Send all rows of the partitions, several to a message where they fit, else ranges of one."""
        messages_sent = 0
        batch = _Batch()
        for partition in partitions:
            rows = self._rows_of(partition)
            size = sum(row.ByteSize() + ROW_OVERHEAD_BYTES for row in rows)
            if size > batch.free_bytes and batch.partitions:
                self._send_rows(receiver, batch.partitions, batch.rows)
                messages_sent += 1
                batch = _Batch()
            if messages_sent >= MAX_SYNC_MESSAGES:
                return
            if size <= batch.free_bytes:
                batch.partitions.append(partition)
                batch.rows += rows
                batch.free_bytes -= size
            else:
                most = MAX_SYNC_MESSAGES - messages_sent
                messages_sent += self._send_ranges(receiver, partition, rows, most)
        if batch.partitions and messages_sent < MAX_SYNC_MESSAGES:
            self._send_rows(receiver, batch.partitions, batch.rows)

    def _rows_of(self, partition: int) -> list[pb.Row]:
        messenger = self.detector.messenger
        return [
            messenger.row(member, with_suspicion=False) for member in self.table.in_partitions((partition,))
        ]

    def _send_ranges(self, receiver: str, partition: int, rows: list[pb.Row], most: int) -> int:
        """Send one partition as ranges of names; return the number of messages."""
        after = ""
        start = 0
        messages_sent = 0
        while start < len(rows) and messages_sent < most:
            free_bytes = MAX_BODY_BYTES - RANGE_OVERHEAD_BYTES
            end = start
            while end < len(rows) and free_bytes >= rows[end].ByteSize() + ROW_OVERHEAD_BYTES:
                free_bytes -= rows[end].ByteSize() + ROW_OVERHEAD_BYTES
                end += 1
            until = rows[end - 1].name if end < len(rows) else ""
            self._send_rows(receiver, [partition], rows[start:end], after, until)
            after = until
            start = end
            messages_sent += 1
        return messages_sent

    def _send_rows(
        self,
        receiver: str,
        partitions: Iterable[int],
        rows: Iterable[pb.Row],
        after: str = "",
        until: str = "",
    ) -> None:
        message = pb.Message(piece=pb.Piece(parts=partitions, after=after, until=until))
        message.rows.extend(rows)
        self.detector.messenger.send(receiver, message, with_gossip=False)

    def on_partition_rows(self, sender: str, piece: pb.Piece, rows: Iterable[pb.Row]) -> None:
        """Send back what the sender lacks or holds older; an answer is not answered again."""
        if piece.back:
            return
        received = {row.name: precedence(row.incarnation, row.word, row.state) for row in rows}
        newer = [
            member
            for member in self.table.in_partitions(piece.parts, piece.after, piece.until)
            if member.name not in received or received[member.name] < member.precedence
        ]
        messenger, own = self.detector.messenger, self.detector.own
        for _ in range(MAX_SYNC_MESSAGES):
            if not newer:
                break
            message = pb.Message(piece=pb.Piece(back=True), word=own.refutation, state=own.state.number)
            appended = append_rows(message, (messenger.row(member, with_suspicion=False) for member in newer))
            messenger.send(sender, message, with_gossip=False)
            newer = newer[appended:]
