"""Notices of a released lease, which let others acquire it at once. No I/O."""

from collections.abc import Callable, Sequence

from lichenquay.lease.messages import ReleaseNotice
from lichenquay.lease.quorum import INF
from lichenquay.lease.settings import LeaseSettings

NOTICES_PER_VOTER = 3  # repeated because a notice may be lost


class ReleaseNotifier:
    """The sender of the notices of the latest release, `retry_ms` apart."""

    def __init__(self, voters: Sequence[str], settings: LeaseSettings, send: Callable):
        """Starts with nothing to send. `voters`: names of the voters."""
        self.voters = voters
        self.settings = settings
        self.send = send
        self.generation = 0
        self.index = 0
        self.remaining = 0
        self.due_ms = INF

    @property
    def is_pending(self) -> bool:
        """Whether more notices will be sent."""
        return self.remaining > 0

    def start(self, now_ms: float, generation: int, index: int, notices: int = NOTICES_PER_VOTER) -> None:
        """Sends the first notice of a release; `index`: of the last record."""
        self.generation = generation
        self.index = index
        self.remaining = notices
        self._send_notice(now_ms)

    def tick(self, now_ms: float) -> None:
        """Sends the next notice if it is due."""
        if now_ms >= self.due_ms:
            self._send_notice(now_ms)

    def _send_notice(self, now_ms):
        for name in self.voters:
            self.send(name, ReleaseNotice(generation=self.generation, index=self.index))
        self.remaining -= 1
        self.due_ms = now_ms + self.settings.retry_ms if self.remaining else INF
