"""The ledger's records as a replicated group stores them, in pieces. No I/O.

A record of the group is bounded in size and a batch of changes is not, so a batch is stored as pieces. It
counts once all its pieces are there, one after the other. Pieces of a record whose rest never came (its
leader lost the group in between) are dropped by the first piece of the next record: no gateway was answered
by it. Errors: protobuf's DecodeError, and LedgerError.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

PIECE_BYTES = 760  # of data; with its header a piece stays under the 800 bytes of a group's record


class AssembledRecords(NamedTuple):
    """Complete records in order, and the pieces of the last one that is not complete yet."""

    records: list[bytes]
    incomplete: list[bytes]


def split(record: bytes) -> list[bytes]:
    """The pieces of a record."""
    chunks = [record[start : start + PIECE_BYTES] for start in range(0, len(record), PIECE_BYTES)]
    return [
        pb.Part(index=index, count=len(chunks), data=chunk).SerializeToString()
        for index, chunk in enumerate(chunks)
    ]


def assemble(pieces: Iterable[bytes]) -> AssembledRecords:
    """Joins pieces to records."""
    records = []
    incomplete = []
    for piece in pieces:
        part = pb.Part.FromString(piece)
        if part.index == 0:
            incomplete = []
        # Where its first piece is missing, no gateway was answered by this record.
        if part.index != len(incomplete):
            incomplete = []
            continue
        incomplete.append(piece)
        if len(incomplete) == part.count:
            records.append(b"".join(pb.Part.FromString(p).data for p in incomplete))
            incomplete = []
    return AssembledRecords(records, incomplete)


def read(base: bytes, pieces: Iterable[bytes]) -> tuple[bytes, list[bytes]]:
    """The snapshot in a group's base, and the complete records after it."""
    stored = pb.Kept.FromString(base)
    return stored.state, assemble([*stored.parts, *pieces]).records


def fold_with(
    base: bytes, pieces: Iterable[bytes], apply_records: Callable[[bytes, list[bytes]], bytes]
) -> bytes:
    """The base with these pieces folded in; `apply_records(snapshot, records)` gives the next snapshot."""
    stored = pb.Kept.FromString(base)
    records, incomplete = assemble([*stored.parts, *pieces])
    state = apply_records(stored.state, records) if records else stored.state
    return pb.Kept(state=state, parts=incomplete).SerializeToString()


def fold(base: bytes, pieces: Iterable[bytes]) -> bytes:
    """The `fold` of the ledger's group."""
    return fold_with(base, pieces, lambda state, records: Ledger.load(state, records).state())


class PiecewiseGroup:
    """A replicated group whose records may be of any size: a record is committed when its last piece is."""

    def __init__(self, group):
        """`group`: a `lease.group.LeaseGroup`."""
        self.group = group

    @property
    def generation(self) -> int:
        """The generation under which this process holds the group; 0: it does not."""
        return self.group.generation

    def holds(self, now_ms: float) -> bool:
        """Whether this process holds the group's lease."""
        return self.group.holds(now_ms)

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """The snapshot, and the complete records after it."""
        return read(*self.group.state)

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool | None], None]) -> None:
        """Writes a record; `done(now_ms, committed)` is called once all its pieces have ended.

        `committed`: True, False (certainly not), or None (not known).
        """
        pieces = split(record)
        results = []

        def piece_ended(ended_ms: float, committed: bool | None) -> None:
            results.append(committed)
            if len(results) == len(pieces):
                done(ended_ms, _result_of(results))

        for piece in pieces:
            self.group.append(now_ms, piece, piece_ended)


def _result_of(results: list[bool | None]) -> bool | None:
    """The result of a record: False if a piece was rejected, else None if one is unknown."""
    if all(results):
        return True
    return False if False in results else None
