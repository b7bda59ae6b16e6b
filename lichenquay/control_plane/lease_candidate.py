"""When a voter claims the publisher's lease. No I/O: a part of the host like any other."""

LOOK_MS = 250.0  # between two looks at who holds the lease
SILENT_LEASES = 1.0  # leases without a word of the holder; then others claim it


class Candidate:
    """Wants the group's lease while nobody is heard to hold it."""

    def __init__(self, group, now_ms):
        """Looks at once."""
        self.group, self.due_ms, self.outbox = group, now_ms, []
        self.leaving = False

    def tick(self, now_ms):
        """A look at the holder."""
        self.due_ms = now_ms + LOOK_MS
        self.group.want(now_ms, self._is_vacant(now_ms) and not self.leaving)

    def leave(self, now_ms):
        """In order: others may claim at once, and this one does not again."""
        self.leaving = True
        self.group.give_up(now_ms)

    def _is_vacant(self, now_ms):
        # Risk: one that is alive but holds no more is waited for by all. So silence counts.
        silent_ms = now_ms - self.group.round_ms
        holder = self.group.holder[0]
        return silent_ms > SILENT_LEASES * self.group.settings.lease_ms or holder in (None, self.group.name)
