"""Decides when a voter tries to acquire the publisher's lease. No I/O."""

from lichenquay.lease.group import LeaseGroup

CHECK_INTERVAL_MS = 250.0
MAX_SILENT_LEASES = 1.0  # Lease durations without a heartbeat after which others may acquire the lease.


class LeaseCandidate:
    """Makes the lease group a candidate for the lease while no active holder is known."""

    def __init__(self, group: LeaseGroup, now_ms: float):
        """Schedules a check for the first tick. now_ms: milliseconds."""
        self.group = group
        self.due_ms = now_ms
        self.outbox = []
        self.is_leaving = False

    def tick(self, now_ms: float) -> None:
        """Checks which process holds the lease. now_ms: milliseconds."""
        self.due_ms = now_ms + CHECK_INTERVAL_MS
        self.group.set_candidate(now_ms, self._is_vacant(now_ms) and not self.is_leaving)

    def leave(self, now_ms: float) -> None:
        """Releases the lease for others to acquire; this process does not acquire it again."""
        self.is_leaving = True
        self.group.release(now_ms)

    def _is_vacant(self, now_ms):
        # Without the limit, all voters would wait for a process that is alive but no longer holds the lease.
        silent_ms = now_ms - self.group.last_heartbeat_ms
        is_silent = silent_ms > MAX_SILENT_LEASES * self.group.settings.lease_ms
        return is_silent or self.group.holder.name in (None, self.group.name)
