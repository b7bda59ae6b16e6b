"""What the controller keeps between calls: records alone. Every choice on them is a stage's."""

from math import inf


class Run:
    """One submission's hold on its engine: slot, memory and threads, until its work is over."""

    def __init__(self, sub, seen, slot, kind, grant):
        self.sub, self.seen, self.slot, self.kind, self.grant = sub, seen, slot, kind, grant  # grant in MB
        self.q, self.group = sub.query, sub.query.group
        self.heard_ms, self.called_off, self.noted = sub.sent_ms, False, False
        self.waits_ms, self.waited_ms = None, 0.0  # waiting since; waited before


class Slot:
    """M&M's state for one engine (or for all, pooled) and resource group (paper, 4.3)."""

    def __init__(self, limit, maximum, kinds, peers, now):
        self.limit, self.maximum, self.minimum, self.peers = limit, maximum, 0, peers  # peers: by group
        self.pool, self.pool_used = None, 0.0  # MB; set from the first grant
        self.used = dict.fromkeys(kinds, 0)
        self.home, self.delay, self.admitted_ms, self.latency = False, 0.0, -inf, 0.0
        self.open(now)

    def open(self, now):
        """A new interval."""
        self.since, self.late, self.late_sq, self.n, self.grants = now, 0.0, 0.0, 0, 0.0
        self.waiters = self.running = 0.0


class Seen:
    """What this gateway knows of one engine, from its own traffic and the engine's reports alone."""

    def __init__(self, engine, now, stretch, cold_sent, faults):
        self.engine, self.cores, self.memory_mb = engine, engine.cores or 1.0, engine.memory_mb or 1.0
        self.runs, self.slots, self.held = {}, {}, {}  # held: tables that a load holds there, until when
        self.report, self.report_ms, self.asked_ms, self.heard_ms = None, -inf, -inf, now
        self.silent, self.trial_ms = False, -inf  # not heard from; when it may be tried again
        self.full_ms, self.short_ms = -inf, -inf  # it last refused; it was last short of memory
        self.stretch, self.pace = stretch, None  # ring of runtime over work per thread; its mean
        self.cold_sent, self.faults = cold_sent, faults  # rings: work sent to it; errors in answers
        self.threads, self.granted = [0, 0], 0.0  # of our runs: limited groups' and dashboards', MB
        self.weight, self.due_ms = 1.0, -inf  # in the draw; when it is weighed anew
