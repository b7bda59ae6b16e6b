"""Anti-entropy: compares the member table with that of one other member and exchanges the differences.

A comparison sends one digest per partition. Partitions whose digests differ are sent in at most
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
MAX_PARTITIONS_PER_ANSWER = 8
PARTITIONS_OVERHEAD_BYTES = 120  # Size of a message with whole partitions, without its rows.
RANGE_OVERHEAD_BYTES = 220  # Size of a message with a name range (two names), without its rows.


@dataclass
class _Batch:
    """Whole partitions that are sent in one message."""

    partitions: list[int] = field(default_factory=list)
    rows: list[pb.Row] = field(default_factory=list)
    free_bytes: int = MAX_BODY_BYTES - PARTITIONS_OVERHEAD_BYTES


class AntiEntropy:
    """Periodic comparison of this member's table with the tables of other members."""

    def __init__(self, detector: "FailureDetector"):
        """Starts with no comparison scheduled."""
        self.detector = detector
        self.table = detector.table
        self.rng = detector.rng
        self.next_sync_ms = INF

    def start_sync(self, now_ms: float) -> None:
        """Starts a comparison with one random live member and schedules the next one."""
        messenger = self.detector.messenger
        for name in messenger.sample_live(1):
            self.send_digests(name)
        self.next_sync_ms = now_ms + messenger.jitter(self.detector.settings.sync_interval_ms)

    def schedule_soon(self) -> None:
        """Schedules another comparison within about a probe period, because tables differed."""
        delay_ms = self.detector.messenger.jitter(self.detector.settings.probe_period_ms)
        self.next_sync_ms = min(self.next_sync_ms, self.detector.now_ms + delay_ms)

    def send_digests(self, receiver: str) -> None:
        """Sends the digest of each partition."""
        sync = pb.Sync(digests=self.table.partition_digests)
        self.detector.messenger.send(receiver, pb.Message(sync=sync), with_gossip=False)

    def on_digests(self, sender: str, digests: Sequence[int]) -> None:
        """Answers with the rows of some of the partitions whose digests differ."""
        differing = [
            partition
            for partition in range(PARTITION_COUNT)
            if digests[partition] != self.table.partition_digests[partition]
        ]
        if not differing:
            return
        self.schedule_soon()
        count = min(len(differing), MAX_PARTITIONS_PER_ANSWER)
        self._send_partitions(sender, sorted(self.rng.sample(differing, count)))

    def _send_partitions(self, receiver: str, partitions: Iterable[int]) -> None:
        """Sends all rows of the partitions: several partitions per message if they fit, or ranges of one."""
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
                max_messages = MAX_SYNC_MESSAGES - messages_sent
                messages_sent += self._send_ranges(receiver, partition, rows, max_messages)
        if batch.partitions and messages_sent < MAX_SYNC_MESSAGES:
            self._send_rows(receiver, batch.partitions, batch.rows)

    def _rows_of(self, partition: int) -> list[pb.Row]:
        messenger = self.detector.messenger
        return [
            messenger.row(member, with_suspicion=False) for member in self.table.in_partitions((partition,))
        ]

    def _send_ranges(self, receiver: str, partition: int, rows: list[pb.Row], max_messages: int) -> int:
        """Sends one partition as ranges of names; returns the number of messages sent."""
        after = ""
        start = 0
        messages_sent = 0
        while start < len(rows) and messages_sent < max_messages:
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
        """Sends back the rows that the sender lacks or holds in an older version; answers get no answer."""
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
