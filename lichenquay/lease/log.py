"""One process's copy of the replicated log: a folded base and the records after it. No I/O."""

from collections.abc import Callable, Iterable
from struct import pack
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.digest import digest
from lichenquay.lease.lease_pb2 import Position as WirePosition
from lichenquay.lease.lease_pb2 import State as WireState

FoldFunction = Callable[[bytes, list[bytes]], bytes]
# Returns why the application cannot use a base and the records after it, in one line, or None.
FindStateError = Callable[[bytes, list[bytes]], str | None]


class LogPosition(NamedTuple):
    """The end of a log: its generation, its last index and the digest of all its records."""

    generation: int = 0
    index: int = 0
    digest: int = 0

    def to_wire(self) -> WirePosition:
        """Returns the protobuf form, with a digest of the three parts."""
        mark = digest(pack("<QQQ", *self))
        return WirePosition(label=self.generation, index=self.index, chain=self.digest, mark=mark)

    @classmethod
    def from_wire(cls, message: WirePosition) -> "LogPosition | None":
        """Returns the position, or None if the digest of its parts does not match."""
        position = cls(message.label, message.index, message.chain)
        return position if message.mark == digest(pack("<QQQ", *position)) else None

    @property
    def order(self) -> tuple[int, int]:
        """The sort key of logs: the newer log has the higher one."""
        return self.generation, self.index


class ReplicatedLog:
    """A base (bytes folded by the application) and the records after it, all under one generation.

    Two logs with the same generation and index hold the same records, however much of them each has folded.
    """

    def __init__(
        self,
        generation: int = 0,
        base: bytes = b"",
        base_index: int = 0,
        base_digest: int = 0,
        records: Iterable[bytes] = (),
    ):
        """Holds base and records; `base_index` and `base_digest` are of the last record in the base."""
        self.generation = generation
        self.base = base
        self.base_index = base_index
        self.base_digest = base_digest
        self.records = []
        self.digests = []
        self.size_bytes = len(base)
        for record in records:
            self.append(record)

    def append(self, record: bytes) -> None:
        """Adds a record at the end."""
        self.digests.append(digest(pack("<Q", self.digest), record))
        self.records.append(record)
        self.size_bytes += len(record)

    def copy(self) -> "ReplicatedLog":
        """Returns an independent copy."""
        copied = ReplicatedLog(self.generation, self.base, self.base_index, self.base_digest)
        copied.records = list(self.records)
        copied.digests = list(self.digests)
        copied.size_bytes = self.size_bytes
        return copied

    @property
    def index(self) -> int:
        """The index of the last record."""
        return self.base_index + len(self.records)

    @property
    def digest(self) -> int:
        """The digest of all records."""
        return self.digests[-1] if self.digests else self.base_digest

    @property
    def position(self) -> LogPosition:
        """The end of this log."""
        return LogPosition(self.generation, self.index, self.digest)

    def digest_at(self, index: int) -> int | None:
        """Returns the digest of all records up to `index`; None if it is folded or beyond the end."""
        if index == self.base_index:
            return self.base_digest
        if self.base_index < index <= self.index:
            return self.digests[index - self.base_index - 1]
        return None

    def records_after(self, index: int) -> list[bytes]:
        """Returns the records after `index`, which must not be before the base."""
        return self.records[index - self.base_index :]

    def fold(self, fold: FoldFunction, remaining: int) -> None:
        """Folds all but the last `remaining` records into the base, by the application's `fold`."""
        folded = len(self.records) - remaining
        self.base = fold(self.base, self.records[:folded])
        self.base_index += folded
        self.base_digest = self.digests[folded - 1]
        self.records = self.records[folded:]
        self.digests = self.digests[folded:]
        self.size_bytes = len(self.base) + sum(map(len, self.records))

    def wire_header(self) -> WireState:
        """Returns the protobuf form without base and records."""
        return WireState(
            position=self.position.to_wire(), base_index=self.base_index, base_chain=self.base_digest
        )

    def to_bytes(self) -> bytes:
        """Returns the complete log, serialized as it is sent in chunks."""
        state = self.wire_header()
        state.base = self.base
        state.records.extend(self.records)
        return state.SerializeToString()

    @classmethod
    def from_parts(cls, header: WireState, base: bytes, records: Iterable[bytes]) -> "ReplicatedLog | None":
        """Returns the log of a header, a base and records; None if they are inconsistent."""
        log = cls(header.position.label, base, header.base_index, header.base_chain, records)
        return log if LogPosition.from_wire(header.position) == log.position else None

    @classmethod
    def from_bytes(cls, data: bytes) -> "ReplicatedLog | None":
        """Parses the output of `to_bytes`; returns None for anything else."""
        try:
            state = WireState.FromString(data)
        except DecodeError:
            return None
        return cls.from_parts(state, state.base, state.records)
