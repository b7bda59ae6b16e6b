"""The notices by which a holder that released its lease lets others acquire it at once. No I/O."""

from collections.abc import Callable, Sequence

from lichenquay.lease.messages import ReleaseNotice
from lichenquay.lease.quorum import INF
from lichenquay.lease.settings import LeaseSettings

NOTICES = 3  # sent to each voter, as any may be lost


class ReleaseNotifier:
    """Sends the notices of the latest release, `retry_ms` apart."""

    def __init__(self, voters: Sequence[str], settings: LeaseSettings, send: Callable):
        """`voters`: their names. Nothing has been released."""
        self.voters = voters
        self.settings = settings
        self.send = send
        self.generation = 0
        self.index = 0
        self.remaining = 0
        self.due_ms = INF

    @property
    def is_pending(self) -> bool:
        """Whether notices are still to be sent."""
        return self.remaining > 0

    def start(self, now_ms: float, generation: int, index: int, notices: int = NOTICES) -> None:
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
