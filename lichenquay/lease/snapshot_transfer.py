"""Transfer of a complete log between two processes, in chunks. No I/O."""

import zlib
from collections.abc import Iterator

from lichenquay.lease.log import FindStateError, ReplicatedLog
from lichenquay.lease.messages import SnapshotChunk, SnapshotOffer, SnapshotRequest
from lichenquay.lease.settings import LeaseSettings

# A serialized log is larger than base and records by the key and the length of each record.
_WIRE_SIZE_FACTOR = 2


def is_valid_offer(offer: SnapshotOffer, settings: LeaseSettings) -> bool:
    """Returns whether size and position of an offer are valid."""
    is_size_valid = 0 < offer.size <= settings.max_state_bytes * _WIRE_SIZE_FACTOR
    return is_size_valid and offer.position is not None


class LogSnapshot:
    """A serialized copy of a log at one moment, to be sent in chunks."""

    def __init__(self, log: ReplicatedLog):
        """Serializes `log`; records appended later are not included."""
        self.position = log.position
        self.data = log.to_bytes()
        self.crc = zlib.crc32(self.data)

    def offer(self) -> SnapshotOffer:
        """Returns the offer by which a receiver can fetch it."""
        return SnapshotOffer(position=self.position, size=len(self.data), crc=self.crc)

    def chunks(self, request: SnapshotRequest, settings: LeaseSettings) -> Iterator[SnapshotChunk]:
        """Yields one window of chunks from the requested offset on; none for an offset inside a chunk."""
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


class LogSnapshotFetch:
    """The fetch of one log in chunks, one window at a time, with retries for lost chunks."""

    def __init__(
        self,
        now_ms: float,
        source: str,
        generation: int,
        offer: SnapshotOffer,
        settings: LeaseSettings,
        find_state_error: FindStateError,
        recovery_nonce: int = 0,
    ):
        """Starts without chunks.

        `offer`: a valid offer of the process named `source`. `find_state_error` checks the state of the log.
        """
        self.source = source
        self.generation = generation
        self.recovery_nonce = recovery_nonce
        self.settings = settings
        self.find_state_error = find_state_error
        self.position = offer.position
        self.size = offer.size
        self.crc = offer.crc
        self.chunks = {}
        self.most_chunks = 0  # ever held; fewer are held after chunks that did not match the offer
        self.requested_offset = -1
        self.requested_ms = now_ms
        self.last_progress_ms = now_ms

    def resume(self, earlier: "LogSnapshotFetch | None") -> None:
        """Takes over the chunks of an earlier fetch, which may be None, if that was for the same bytes."""
        if earlier is not None and earlier._content() == self._content():
            self.chunks = earlier.chunks
            self.most_chunks = len(self.chunks)

    def _content(self):
        return self.position, self.size, self.crc

    def is_same_transfer(self, other: "LogSnapshotFetch") -> bool:
        """Returns whether both fetch the same log from the same process, regardless of progress."""
        return self._identity() == other._identity()

    def _identity(self):
        return self.source, self.generation, self.recovery_nonce, self.position, self.size, self.crc

    @property
    def missing_offset(self) -> int | None:
        """The first missing offset; None if all chunks have arrived."""
        offsets = range(0, self.size, self.settings.chunk_bytes)
        return next((offset for offset in offsets if offset not in self.chunks), None)

    def request(self, now_ms: float) -> SnapshotRequest:
        """Returns a request for the chunks from the first missing one on, and records its time."""
        self.requested_ms = now_ms
        self.requested_offset = self.missing_offset
        return SnapshotRequest(generation=self.generation, crc=self.crc, offset=self.requested_offset or 0)

    @property
    def due_ms(self) -> float:
        """The time at which the request is due to be repeated."""
        return self.requested_ms + self.settings.retry_ms

    def is_stalled(self, now_ms: float) -> bool:
        """Returns whether no new chunk has arrived for the length of a lease."""
        return now_ms - self.last_progress_ms > self.settings.lease_ms

    def add_chunk(self, now_ms: float, sender: str, chunk: SnapshotChunk) -> bool:
        """Records a chunk. Returns True once the window or the whole log is complete."""
        if not self._is_expected(sender, chunk) or chunk.offset in self.chunks:
            return False
        self.chunks[chunk.offset] = chunk.data
        if len(self.chunks) > self.most_chunks:
            self.most_chunks = len(self.chunks)
            self.last_progress_ms = now_ms
        missing_offset = self.missing_offset
        window_bytes = self.settings.chunk_bytes * self.settings.chunk_window
        return missing_offset is None or missing_offset >= self.requested_offset + window_bytes

    def _is_expected(self, sender, chunk):
        step = self.settings.chunk_bytes
        is_full_chunk = chunk.offset % step == 0 and len(chunk.data) == min(step, self.size - chunk.offset)
        origin = sender, chunk.generation, chunk.crc
        return is_full_chunk and origin == (self.source, self.generation, self.crc)

    def assembled_log(self) -> ReplicatedLog | None:
        """Returns the complete log, or None.

        Chunks that do not match the offer, or hold a damaged state, are dropped, to be fetched again.
        """
        if self.missing_offset is not None:
            return None
        data = b"".join(self.chunks[offset] for offset in sorted(self.chunks))
        log = ReplicatedLog.from_bytes(data) if zlib.crc32(data) == self.crc else None
        if log is None or log.position != self.position or self.find_state_error(log.base, log.records):
            self.chunks.clear()
            return None
        return log
