"""When a voter acquires the publisher's lease. No I/O: a part of the host like any other."""

CHECK_INTERVAL_MS = 250.0  # between two checks of who holds the lease
MAX_SILENT_LEASES = 1.0  # without a heartbeat of the holder; then others acquire the lease


class Candidate:
    """Makes the group a candidate for the lease while no active holder is known."""

    def __init__(self, group, now_ms):
        """Checks at once."""
        self.group = group
        self.due_ms = now_ms
        self.outbox = []
        self.leaving = False

    def tick(self, now_ms):
        """Checks who holds the lease."""
        self.due_ms = now_ms + CHECK_INTERVAL_MS
        self.group.set_candidate(now_ms, self._is_vacant(now_ms) and not self.leaving)

    def leave(self, now_ms):
        """Releases the lease: others may acquire it at once, and this process does not again."""
        self.leaving = True
        self.group.release(now_ms)

    def _is_vacant(self, now_ms):
        # Without the limit, all voters would wait for a process that is alive but holds the lease no more.
        silent_ms = now_ms - self.group.last_heartbeat_ms
        is_silent = silent_ms > MAX_SILENT_LEASES * self.group.settings.lease_ms
        return is_silent or self.group.holder.name in (None, self.group.name)
