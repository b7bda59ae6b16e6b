"""The voters' progress as a candidate or leader knows it, and the majorities computed from it. No I/O."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from lichenquay.lease.messages import SnapshotRequest

INF = float("inf")
MAX_SENT_APPENDS = 64  # append requests per voter whose replies are still recognized


class SentAppend(NamedTuple):
    """An append request in flight to one voter."""

    sent_ms: float
    echo_token: int


class VoterProgress:
    """The state of one voter as known to the leader. Times are milliseconds, -inf: never."""

    def __init__(self):
        """Starts without any knowledge of the voter."""
        self.position = None  # last reported end of the log on its disk; None: it has not granted
        self.snapshot_offer = None  # of its log; set by its grant
        self.requested_crc = None  # of the snapshot of the leader's log that it fetches ...
        self.requested_offset = -1  # ... and the highest offset in its requests
        self.replied_number = 0  # number of the latest append request that it answered
        self.match_index = -1  # index of its last record under this generation
        self.supports_since_ms = -INF  # when the latest append request that it answered was sent
        self.sent_appends = OrderedDict()  # by number
        self.unanswered_since_ms = None  # when records or an offer were sent that it has not answered
        self.acquire_sent_ms = -INF
        self.recovery_nonce = 0  # nonzero while it is recovering
        self.rejection_wait_ms = None  # wait requested by its rejection

    @property
    def needs_acquire_request(self) -> bool:
        """Whether the voter has neither granted nor reported that it is recovering."""
        return self.position is None and not self.recovery_nonce

    def append_retry_due_ms(self, retry_ms: float) -> float:
        """Returns when an unanswered append request is repeated; inf if there is none."""
        return INF if self.unanswered_since_ms is None else self.unanswered_since_ms + retry_ms

    def record_rejection(self, wait_ms: float, longest_wait_ms: float) -> None:
        """Records a rejection; no valid voter requests a wait beyond `longest_wait_ms`, or `nan`."""
        self.rejection_wait_ms = wait_ms if 0 <= wait_ms <= longest_wait_ms else longest_wait_ms

    def record_recovery(self, nonce: int) -> None:
        """Records that the voter is recovering: it answers nothing that was sent before."""
        self.recovery_nonce = nonce
        self.position = None
        self.unanswered_since_ms = None

    def record_chunk_request(self, request: SnapshotRequest) -> bool:
        """Records a request; returns whether it is for a later offset of the snapshot than all before."""
        if request.crc != self.requested_crc:
            self.requested_crc = request.crc
            self.requested_offset = -1
        is_further = request.offset > self.requested_offset
        self.requested_offset = max(self.requested_offset, request.offset)
        return is_further

    def record_sent(self, now_ms: float, number: int, echo_token: int) -> None:
        """Records an append request, and drops the oldest beyond MAX_SENT_APPENDS."""
        self.sent_appends[number] = SentAppend(now_ms, echo_token)
        if len(self.sent_appends) > MAX_SENT_APPENDS:
            self.sent_appends.popitem(last=False)

    def has_sent(self, echo_token: int) -> bool:
        """Returns whether an append request with this echo token was sent to the voter."""
        return any(append.echo_token == echo_token for append in self.sent_appends.values())


class Quorum:
    """The voters of a group under one generation."""

    def __init__(self, names: Sequence[str]):
        """Starts without any knowledge of the voters. `names`: in the order in which messages are sent."""
        self.voters = {name: VoterProgress() for name in names}
        self.majority = len(self.voters) // 2 + 1
        self.catch_up_ms = -INF  # the latest progress of a voter that lacks records of the leader's log

    @property
    def supported_since_ms(self) -> float:
        """The latest time since which a majority has supported the lease."""
        return self._reached_by_majority(voter.supports_since_ms for voter in self.voters.values())

    @property
    def committed_index(self) -> int:
        """The last record that a majority has on disk under this generation; -1: none."""
        return self._reached_by_majority(voter.match_index for voter in self.voters.values())

    def _reached_by_majority(self, values):
        return sorted(values, reverse=True)[self.majority - 1]

    def retry_due_ms(self, acquire_retry_ms: float, append_retry_ms: float) -> float:
        """Returns when the next acquire or append request is repeated; inf if none is."""
        return min(
            voter.acquire_sent_ms + acquire_retry_ms
            if voter.needs_acquire_request
            else voter.append_retry_due_ms(append_retry_ms)
            for voter in self.voters.values()
        )

    def granting_voters(self) -> list[str]:
        """Returns the names of the voters that granted."""
        return [name for name, voter in self.voters.items() if voter.position is not None]

    @property
    def is_rejected(self) -> bool:
        """Whether too many voters rejected for a majority to grant."""
        rejections = len(self.rejection_waits_ms())
        return rejections > len(self.voters) - self.majority

    def rejection_waits_ms(self) -> list[float]:
        """Returns the waits requested by the voters that rejected."""
        waits = (voter.rejection_wait_ms for voter in self.voters.values())
        return [wait_ms for wait_ms in waits if wait_ms is not None]

    @property
    def is_recovering(self) -> bool:
        """Whether every voter is recovering."""
        return all(voter.recovery_nonce for voter in self.voters.values())
