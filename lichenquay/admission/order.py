"""When a query's turn comes, where its group keeps order."""

from lichenquay.admission import interface as io


class Order:
    """Where order is kept, queries of one key go one at a time, and it rests after one that may run on."""

    def __init__(self, door, rest_ms, below):
        self.door, self.rest_ms, self.below, self.lines, self.free_ms = door, rest_ms, below, {}, {}

    def down(self, q):
        if not q.group.in_order or not q.key:
            return self.below(q)
        self.lines.setdefault(q.key, []).append(q)
        self.advance(q.key)

    def back(self, q, sub=None):
        if q not in self.lines.get(q.key, ()):
            return
        if sub and sub.ending in (io.TIMED_OUT, io.RESET, io.CANCELLED):
            self.free_ms[q.key] = self.door.now_ms + self.rest_ms
        if q.over and all(s.ending is not None for s in q.submissions):
            self.lines[q.key].remove(q)
            self.advance(q.key)

    def advance(self, key):
        line, free_ms = self.lines.get(key), self.free_ms.get(key, 0.0)
        if line and not line[0].passed:
            if self.door.now_ms < free_ms:
                return self.door.wake(free_ms, lambda: self.advance(key))
            line[0].passed = True
            self.below(line[0])
        elif not line and self.door.now_ms >= free_ms:
            self.lines.pop(key, None)
            self.free_ms.pop(key, None)
