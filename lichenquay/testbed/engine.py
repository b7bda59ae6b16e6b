"""An emulated engine, without I/O: processor sharing, memory grants, warm tables, loads and cold starts.

Work is in milliseconds on one core. A query gets as many cores as it has threads; when cores are short, they
are shared by threads and priority (each rank doubles the weight). The caller passes the current time, which
must not go back.
"""

from collections import OrderedDict, deque
from math import inf

from lichenquay.load.task import RUNNING

FINISHED, FULL = "finished", "full"
PROGRESS_MS = 500.0  # between two progress events of a query


class Engine:
    """One emulated engine process. Calls `record(kind, ref, **facts)` for each ledger event."""

    def __init__(self, uid, settings, started_ms=None, record=lambda *_, **__: None):
        """Starts cold at `started_ms`, or warm if it is None. `settings` are the world's engine settings."""
        self.uid, self.settings, self.started_ms, self.record = uid, settings, started_ms, record
        self.tasks, self.running, self.queue = {}, [], deque()
        self.warm_tables, self.loads_by_table, self.used_mb = OrderedDict(), {}, 0.0
        self.now_ms, self.speed, self.is_overloaded = 0.0, 1.0, False
        self.cold_arrivals = deque()  # (time in ms, work in ms) of queries submitted while cold

    def capacity(self, now_ms):
        """Returns the share of its cores that the engine has; it rises linearly while the engine is cold."""
        if self.started_ms is None or not self.settings.cold_ms:
            return self.speed
        age_share = min(1.0, max(0.0, (now_ms - self.started_ms) / self.settings.cold_ms))
        return self.speed * (self.settings.cold_share + (1 - self.settings.cold_share) * age_share)

    def work_rates(self):
        """Returns the work per millisecond of each running query."""
        cores, wanted_cores = (
            self.settings.cores * self.capacity(self.now_ms),
            sum(task.threads for task in self.running),
        )
        if wanted_cores <= cores:
            return [float(task.threads) for task in self.running]
        weights = [task.threads * 2.0**task.rank for task in self.running]
        scale = cores / sum(weights)
        return [
            min(float(task.threads), weight * scale)
            for task, weight in zip(self.running, weights, strict=True)
        ]

    def next_completion_ms(self):
        """Returns when the next running query completes if nothing else happens; inf if none runs."""
        shortest_ms = min(
            (
                task.remaining_ms / rate
                for task, rate in zip(self.running, self.work_rates(), strict=True)
                if rate > 0
            ),
            default=inf,
        )
        return self.now_ms + shortest_ms

    def advance(self, now_ms):
        """Advances the time; each query ends at its own time. Returns the queries that completed."""
        ended = []
        while self.now_ms < now_ms:
            rates = self.work_rates()
            step = min(
                [now_ms - self.now_ms]
                + [
                    task.remaining_ms / rate
                    for task, rate in zip(self.running, rates, strict=True)
                    if rate > 0
                ]
            )
            if self.started_ms is not None and self.now_ms < self.started_ms + self.settings.cold_ms:
                step = min(step, 50.0)  # capacity changes with age
            self.now_ms = now_ms if step >= now_ms - self.now_ms else self.now_ms + step
            for task, rate in zip(self.running, rates, strict=True):
                task.remaining_ms -= rate * step
            completed = [task for task in self.running if task.remaining_ms <= 1e-6]
            for task in completed:
                self.end_task(task, FINISHED)
            ended += completed
            if not step and not completed:
                break
        for task in [task for task in self.tasks.values() if self.now_ms > task.retained_until_ms]:
            self.forget(task)
        return ended

    def start(self, now_ms, task):
        """Accepts a complete POST. Returns RUNNING (also while queued), FULL, or the outcome of a repeated
        submission.
        """
        self.advance(now_ms)
        if task.ref in self.tasks:
            return self.tasks[task.ref].outcome
        if len(self.running) + len(self.queue) >= self.settings.most_open:
            return FULL
        task.submitted_ms = now_ms
        self.tasks[task.ref] = task
        if task.grant_mb <= 0:
            task.grant_mb = min(task.memory_mb, 0.4 * self.settings.memory_mb)
        self.record_cold_arrival(now_ms, task)
        self.queue.append(task)
        self.start_queued(now_ms)
        return RUNNING

    def record_cold_arrival(self, now_ms, task):
        """Counts work submitted while cold; records "fell" once a sliding window exceeds its bound."""
        if self.started_ms is None or now_ms >= self.started_ms + self.settings.cold_ms:
            return
        self.cold_arrivals.append((now_ms, task.work_ms))
        while self.cold_arrivals and self.cold_arrivals[0][0] < now_ms - self.settings.fall_ms:
            self.cold_arrivals.popleft()
        bound = (
            self.settings.cold_multiple * self.capacity(now_ms) * self.settings.cores * self.settings.fall_ms
        )
        if sum(work_ms for _, work_ms in self.cold_arrivals) > bound and not self.is_overloaded:
            self.is_overloaded = True
            self.record(
                "fell",
                task.ref,
                sent_ms=round(sum(work_ms for _, work_ms in self.cold_arrivals), 1),
                bound_ms=round(bound, 1),
            )

    def start_queued(self, now_ms):
        """Starts queued queries in order, as memory and tables allow. One that waits for a load lets others
        pass; one that waits for memory doesn't.
        """
        for task in list(self.queue):
            if task.tables and self.loads_by_table.get(task.tables):
                self.record_wait(task, "load")
                continue
            if self.used_mb + task.grant_mb > self.settings.memory_mb and self.running:
                self.record_wait(task, "memory")
                return
            self.queue.remove(task)
            self.run_task(now_ms, task)

    def record_wait(self, task, reason):
        """Sets why a query waits, and the event that reports it."""
        if task.wait_reason != reason:
            task.wait_reason, task.pending_event = reason, ("held", 1 if reason == "memory" else 2)

    def run_task(self, now_ms, task):
        """Starts a query; adds the cost of spilling and cold tables to its work."""
        task.wait_reason, task.started_ms, task.last_event_ms = "", now_ms, now_ms
        work = task.work_ms
        if task.memory_mb > task.grant_mb:
            work *= 1 + self.settings.spill * (1 - task.grant_mb / task.memory_mb)
            task.pending_event = ("short", round(task.memory_mb - task.grant_mb, 1))
        if task.tables:
            if task.tables not in self.warm_tables:
                work *= 1 + self.settings.cold_table
            self.warm_tables[task.tables] = True
            self.warm_tables.move_to_end(task.tables)
            while len(self.warm_tables) > self.settings.warm_tables:
                self.warm_tables.popitem(last=False)
        task.remaining_ms = task.total_ms = work
        self.used_mb += task.grant_mb
        if task.load and task.tables:
            self.loads_by_table[task.tables] = task
        self.running.append(task)
        self.record("start", task.ref)

    def end_task(self, task, outcome):
        """Ends a query with an outcome and starts queued ones."""
        task.outcome, task.ended_ms = outcome, self.now_ms
        if task in self.running:
            self.running.remove(task)
            self.used_mb -= task.grant_mb
            if self.loads_by_table.get(task.tables) is task:
                del self.loads_by_table[task.tables]
        elif task in self.queue:
            self.queue.remove(task)
        self.record("end", task.ref, ending=outcome)
        self.start_queued(self.now_ms)

    def forget(self, task):
        """Drops a query whose retention expired or that was abandoned."""
        if task.outcome == RUNNING:
            self.end_task(task, "dropped")
        self.tasks.pop(task.ref, None)

    def set_rank(self, now_ms, ref, rank):
        """Sets the priority rank of a query, if the engine still holds it."""
        self.advance(now_ms)
        if ref in self.tasks:
            self.tasks[ref].rank = rank

    def take_progress_event(self, now_ms, task):
        """Returns the event (name, amount) that a poll of an unfinished query reports, once, or None."""
        event, task.pending_event = task.pending_event, None
        if event is None and task in self.running and now_ms - task.last_event_ms >= PROGRESS_MS:
            task.last_event_ms = now_ms
            event = ("share", round(1 - task.remaining_ms / task.total_ms, 4))
        return event

    def load_report(self):
        """Returns a load report under the platform's names."""
        cores = self.settings.cores * self.capacity(self.now_ms)
        utilization = min(1.0, sum(task.threads for task in self.running) / cores) if cores else 1.0
        return {"inflight": len(self.running), "queue": len(self.queue), "util": round(utilization, 3)}


def result_rows(task, uid):
    """Returns the result rows that only this engine produces for this query: three columns, the first of them
    the query's id.
    """
    return [f"{task.ref}\t{row_number}\t{uid}\n".encode() for row_number in range(task.rows)]
