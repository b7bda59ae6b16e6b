"""When a query's turn comes, where its group keeps order."""

from lichenquay.admission import domain


class Order:
    """Where order is kept, queries of one key go one at a time, and it rests after one that may run on."""

    def __init__(self, door, rest_ms, below):
        self.door, self.rest_ms, self.below, self.lines, self.free_ms = door, rest_ms, below, {}, {}

    def down(self, q):
        if not q.group.is_ordered_by_key or not q.ordering_key:
            return self.below(q)
        self.lines.setdefault(q.ordering_key, []).append(q)
        self.advance(q.ordering_key)

    def back(self, q, attempt=None):
        if q not in self.lines.get(q.ordering_key, ()):
            return
        if attempt and attempt.outcome in (
            domain.Outcome.TIMED_OUT,
            domain.Outcome.CONNECTION_RESET,
            domain.Outcome.CANCELLED,
        ):
            self.free_ms[q.ordering_key] = self.door.now_ms + self.rest_ms
        if q.is_done and all(s.outcome is not None for s in q.attempts):
            self.lines[q.ordering_key].remove(q)
            self.advance(q.ordering_key)

    def advance(self, key):
        line, free_ms = self.lines.get(key), self.free_ms.get(key, 0.0)
        if line and not line[0].passed:
            if self.door.now_ms < free_ms:
                return self.door.call_at(free_ms, lambda: self.advance(key))
            line[0].passed = True
            self.below(line[0])
        elif not line and self.door.now_ms >= free_ms:
            self.lines.pop(key, None)
            self.free_ms.pop(key, None)
