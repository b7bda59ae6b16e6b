"""Storage of the ledger's records in a replicated group, split into pieces. No I/O.

A record of the group is bounded in size and a batch of changes is not, so a batch is stored as consecutive
pieces, and is complete once all of them are there. Pieces of a record that was never completed, because its
leader lost the group in between, are dropped by the first piece of the next record: no gateway received an
answer based on it. Raises protobuf's DecodeError, and LedgerError.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError, UnknownVersionError
from lichenquay.quota.ledger import Ledger

PIECE_BYTES = 760  # of data; with its header a piece stays below the 800 bytes of a group's record


class AssembledRecords(NamedTuple):
    """Complete records in order, and the pieces of a last record that is not complete yet."""

    records: list[bytes]
    incomplete: list[bytes]


def split(record: bytes) -> list[bytes]:
    """Returns the pieces of a record."""
    chunks = [record[start : start + PIECE_BYTES] for start in range(0, len(record), PIECE_BYTES)]
    return [
        pb.Part(index=index, count=len(chunks), data=chunk).SerializeToString()
        for index, chunk in enumerate(chunks)
    ]


def assemble(pieces: Iterable[bytes]) -> AssembledRecords:
    """Joins pieces into records."""
    records = []
    incomplete = []
    for piece in pieces:
        part = pb.Part.FromString(piece)
        if part.index == 0:
            incomplete = []
        # A piece without those before it belongs to an incomplete record, on which no answer was based.
        if part.index != len(incomplete):
            incomplete = []
            continue
        incomplete.append(piece)
        if len(incomplete) == part.count:
            records.append(b"".join(pb.Part.FromString(p).data for p in incomplete))
            incomplete = []
    return AssembledRecords(records, incomplete)


def read(base: bytes, pieces: Iterable[bytes]) -> tuple[bytes, list[bytes]]:
    """Returns the snapshot in a group's base, and the complete records after it."""
    stored = pb.Kept.FromString(base)
    return stored.state, assemble([*stored.parts, *pieces]).records


def fold_with(
    base: bytes, pieces: Iterable[bytes], apply_records: Callable[[bytes, list[bytes]], bytes]
) -> bytes:
    """Returns the base with the pieces folded in.

    `apply_records(snapshot, records)` returns the next snapshot.
    """
    stored = pb.Kept.FromString(base)
    records, incomplete = assemble([*stored.parts, *pieces])
    state = apply_records(stored.state, records) if records else stored.state
    return pb.Kept(state=state, parts=incomplete).SerializeToString()


def fold(base: bytes, pieces: Iterable[bytes]) -> bytes:
    """Folds pieces into the base of the ledger's group; see `lease.group`."""
    return fold_with(base, pieces, lambda state, records: Ledger.load(state, records).state())


def find_state_error(base: bytes, pieces: Iterable[bytes]) -> str | None:
    """Returns why the ledger in a group's base and pieces is damaged, in one line, or None.

    One of another version is not damaged: it is stored and passed on as it is.
    """
    try:
        Ledger.load(*read(base, pieces))
    except UnknownVersionError:
        return None
    except (LedgerError, DecodeError) as error:
        return str(error)
    return None


class PiecewiseGroup:
    """A replicated group with records of any size: a record is committed once all its pieces are."""

    def __init__(self, group):
        """Wraps `group`, a `lease.group.LeaseGroup`."""
        self.group = group

    @property
    def generation(self) -> int:
        """The generation in which this process holds the group; 0: it does not hold it."""
        return self.group.generation

    def holds(self, now_ms: float) -> bool:
        """Returns whether this process holds the group's lease."""
        return self.group.holds(now_ms)

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """Returns the snapshot, and the complete records after it."""
        return read(*self.group.state)

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool | None], None]) -> None:
        """Writes a record; `done(now_ms, committed)` is called once the results of all pieces are in.

        `committed`: True, False (certainly not), or None (not known).
        """
        pieces = split(record)
        results = []

        def on_piece_written(ended_ms: float, committed: bool | None) -> None:
            results.append(committed)
            if len(results) == len(pieces):
                done(ended_ms, _combined_result(results))

        for piece in pieces:
            self.group.append(now_ms, piece, on_piece_written)


def _combined_result(results: list[bool | None]) -> bool | None:
    """Returns True if all pieces are committed, False if one certainly is not, else None."""
    if all(results):
        return True
    return False if False in results else None
