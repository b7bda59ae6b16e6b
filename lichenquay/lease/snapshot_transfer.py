"""The transfer of a whole log between two processes, in chunks. No I/O."""

import zlib
from collections.abc import Iterator

from lichenquay.lease.log import ReplicatedLog
from lichenquay.lease.messages import SnapshotChunk, SnapshotOffer, SnapshotRequest
from lichenquay.lease.settings import LeaseSettings

# A log on the wire is larger than base and records: keys and lengths of each record.
_WIRE_SIZE_FACTOR = 2


def is_valid_offer(offer: SnapshotOffer, settings: LeaseSettings) -> bool:
    """Whether an offer has a size and a position that a voter can mean."""
    is_size_valid = 0 < offer.size <= settings.max_state_bytes * _WIRE_SIZE_FACTOR
    return is_size_valid and offer.position is not None


class SealedLog:
    """A log as it was at one moment, to be sent in chunks."""

    def __init__(self, log: ReplicatedLog):
        """Later records of `log` are not part of it."""
        self.position = log.position
        self.data = log.to_bytes()
        self.crc = zlib.crc32(self.data)

    def offer(self) -> SnapshotOffer:
        """What a receiver needs to fetch it."""
        return SnapshotOffer(position=self.position, size=len(self.data), crc=self.crc)

    def chunks(self, request: SnapshotRequest, settings: LeaseSettings) -> Iterator[SnapshotChunk]:
        """One window of chunks from the offset that is asked for."""
        step = settings.chunk_bytes
        if request.offset % step:
            return
        end = min(len(self.data), request.offset + step * settings.chunk_window)
        for offset in range(request.offset, end, step):
            yield SnapshotChunk(
                generation=request.generation,
                crc=request.crc,
                offset=offset,
                data=self.data[offset : offset + step],
            )


class SnapshotFetch:
    """Fetches one log in chunks, a window at a time, and asks again for what is lost."""

    def __init__(
        self,
        now_ms: float,
        source: str,
        generation: int,
        offer: SnapshotOffer,
        settings: LeaseSettings,
        recovery_nonce: int = 0,
    ):
        """`offer`: a valid one, of the process named `source`."""
        self.source = source
        self.generation = generation
        self.recovery_nonce = recovery_nonce
        self.settings = settings
        self.position = offer.position
        self.size = offer.size
        self.crc = offer.crc
        self.chunks = {}
        self.requested_offset = -1
        self.requested_ms = now_ms
        self.last_progress_ms = now_ms

    def is_same_transfer(self, other: "SnapshotFetch") -> bool:
        """Whether the other fetches the same log from the same process, whatever each has by now."""
        return self._identity() == other._identity()

    def _identity(self):
        return self.source, self.generation, self.recovery_nonce, self.position, self.size, self.crc

    @property
    def missing_offset(self) -> int | None:
        """The first offset that is missing; None where all chunks are there."""
        offsets = range(0, self.size, self.settings.chunk_bytes)
        return next((offset for offset in offsets if offset not in self.chunks), None)

    def request(self, now_ms: float) -> SnapshotRequest:
        """The message that asks for the first chunks that are missing."""
        self.requested_ms = now_ms
        self.requested_offset = self.missing_offset
        return SnapshotRequest(generation=self.generation, crc=self.crc, offset=self.requested_offset or 0)

    @property
    def due_ms(self) -> float:
        """When to ask again."""
        return self.requested_ms + self.settings.retry_ms

    def is_stalled(self, now_ms: float) -> bool:
        """Whether nothing new has come for a lease."""
        return now_ms - self.last_progress_ms > self.settings.lease_ms

    def add_chunk(self, now_ms: float, sender: str, chunk: SnapshotChunk) -> bool:
        """Records a chunk. True: the window is complete, so the next may be asked for, or all is there."""
        if not self._is_expected(sender, chunk) or chunk.offset in self.chunks:
            return False
        self.chunks[chunk.offset] = chunk.data
        self.last_progress_ms = now_ms
        missing_offset = self.missing_offset
        window_bytes = self.settings.chunk_bytes * self.settings.chunk_window
        return missing_offset is None or missing_offset >= self.requested_offset + window_bytes

    def _is_expected(self, sender, chunk):
        step = self.settings.chunk_bytes
        is_whole = chunk.offset % step == 0 and len(chunk.data) == min(step, self.size - chunk.offset)
        origin = sender, chunk.generation, chunk.crc
        return is_whole and origin == (self.source, self.generation, self.crc)

    def assembled_log(self) -> ReplicatedLog | None:
        """The log once it is whole. Chunks that do not fit together are dropped, to be fetched once more."""
        if self.missing_offset is not None:
            return None
        data = b"".join(self.chunks[offset] for offset in sorted(self.chunks))
        log = ReplicatedLog.from_bytes(data) if zlib.crc32(data) == self.crc else None
        if log is None or log.position != self.position:
            self.chunks.clear()
            return None
        return log
