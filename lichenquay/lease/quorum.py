"""What a candidate or leader knows of the voters, and what a majority of them amounts to. No I/O."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

INF = float("inf")
MAX_SENT_APPENDS = 64  # append requests to one voter whose replies are distinguished


class SentAppend(NamedTuple):
    """An append request in flight to one voter."""

    sent_ms: float
    token: int


class VoterProgress:
    """One voter as the leader knows it. Times are milliseconds, -inf for what has not happened."""

    def __init__(self):
        """Nothing is known of it yet."""
        self.position = None  # of the log on its disk, as it last reported; None: it granted nothing
        self.snapshot_offer = None  # of its log, where it granted
        self.replied_number = 0  # of the latest append request that it answered
        self.match_index = -1  # its last record under this generation
        self.supports_since_ms = -INF  # sending of the latest append request that it answered
        self.sent_appends = OrderedDict()  # by number
        self.unanswered_since_ms = None  # sending of records or an offer that it has not answered
        self.acquire_sent_ms = -INF
        self.recovery_nonce = 0  # of a recovering voter
        self.rejection_wait_ms = None  # how long it asked to wait

    @property
    def needs_acquire_request(self) -> bool:
        """Whether it has neither granted nor reported that it is recovering."""
        return self.position is None and not self.recovery_nonce

    def record_sent(self, now_ms: float, number: int, token: int) -> None:
        """Remembers an append request, and forgets the oldest of many."""
        self.sent_appends[number] = SentAppend(now_ms, token)
        if len(self.sent_appends) > MAX_SENT_APPENDS:
            self.sent_appends.popitem(last=False)

    def has_sent(self, token: int) -> bool:
        """Whether an append request with this token went to it."""
        return any(append.token == token for append in self.sent_appends.values())


class Quorum:
    """All voters of a group under one generation."""

    def __init__(self, names: Sequence[str]):
        """`names`: of the voters, in the order in which they are sent to."""
        self.voters = {name: VoterProgress() for name in names}
        self.majority = len(self.voters) // 2 + 1

    @property
    def supported_since_ms(self) -> float:
        """The latest time since which a majority supports the lease."""
        return self._reached_by_majority(voter.supports_since_ms for voter in self.voters.values())

    @property
    def committed_index(self) -> int:
        """The last record that a majority has on disk under this generation; -1: none."""
        return self._reached_by_majority(voter.match_index for voter in self.voters.values())

    def _reached_by_majority(self, values):
        return sorted(values, reverse=True)[self.majority - 1]

    def granting(self) -> list[str]:
        """The names of the voters that granted."""
        return [name for name, voter in self.voters.items() if voter.position is not None]

    @property
    def is_rejected(self) -> bool:
        """Whether so many rejected that no majority is left."""
        rejections = len(self.rejection_waits_ms())
        return rejections > len(self.voters) - self.majority

    def rejection_waits_ms(self) -> list[float]:
        """How long the voters that rejected asked to wait."""
        waits = (voter.rejection_wait_ms for voter in self.voters.values())
        return [wait_ms for wait_ms in waits if wait_ms is not None]

    @property
    def is_recovering(self) -> bool:
        """Whether every voter is recovering."""
        return all(voter.recovery_nonce for voter in self.voters.values())
