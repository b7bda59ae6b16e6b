"""Admit: a query to the controller, and the controller's answers back. The door makes no choice."""

import heapq
import traceback
from dataclasses import dataclass

from lichenquay.admission import domain
from lichenquay.gateway import frames

FAULT_MS = 250.0  # before what failed at its time is tried again


@dataclass(eq=False)
class FrontQuery(domain.Query):
    """A query as the front keeps it: whom to answer, and what goes to engines unchanged."""

    client: object = None
    stream: int = 0
    ref: str = ""
    token: str = ""  # by which engines drop its repeats
    statement: bytes = b""
    grant_mb: float = 0.0  # of its next attempts
    rank_asked: int | None = None
    told: bool = False  # the controller knows it
    flight: object = None  # its latest attempt


class Admit:
    """The controller's door. What happens is kept for the next turn; turns are `step_ms` apart at least."""

    def __init__(self, opening, reactor, engines, now_ms, metrics, log):
        self.reactor, self.engines, self.clock_ms, self.metrics, self.log_line = (
            reactor,
            engines,
            now_ms,
            metrics,
            log,
        )
        self.step_ms, self.most = opening.gateway.min_turn_ms, opening.permissions.max_attempts
        self.reports_cost = opening.capabilities.reports_cost
        self.events, self.timers, self.timed, self.next = [], [], 0, None
        self.now_ms = self.turned_ms = now_ms()
        self.open, self.numbers = set(), 0
        self.route = self.quota = (
            None  # quota: the fleet's account of what tenants may spend, where there is one
        )
        self.controller = opening.controller(self)

    # what happens, from the network's side

    def happen(self, call, *what):
        self.events.append((call, what))
        self.poke(self.turned_ms + self.step_ms)

    def take(self, q):
        self.numbers += 1
        q.id = self.numbers
        self.open.add(q)
        self.happen(self.taken, q)

    def taken(self, q):
        """Risk: hundreds of queries taken back at once go out to engines and are called off there."""
        if not q.is_done:
            q.told = True
            if self.quota is not None:
                q.over_quota = self.quota.beyond(q)
            self.controller.admit(q)

    def left(self, q):
        """Its client waits no longer."""
        if not q.is_done:
            q.is_done = True
            self.open.discard(q)
            if self.quota is not None:
                self.quota.over(q)
            self.metrics.count("queries left by their clients")
            self.happen(self.gone, q)

    def gone(self, q):
        if q.told:
            self.controller.on_client_gone(q)

    def noted(self, attempt, what, amount):
        self.happen(self.note, attempt, what, amount)

    def note(self, attempt, what, amount):
        if attempt.outcome is None:
            self.controller.on_progress(attempt, what, amount)

    def back(self, flight, ending, cost, report, result):
        """An attempt ended; a whole result is the client's at once, so that none can come between."""
        q = flight.query
        if ending == domain.Outcome.COMPLETED:
            self.answer(q, frames.FINISHED, result)
        took = self.clock_ms() - flight.attempt.sent_ms
        self.happen(self.ended, flight.attempt, ending, took, cost if self.reports_cost else None, report)

    def ended(self, attempt, ending, took, cost, report):
        attempt.outcome = ending
        if self.quota is not None and ending == domain.Outcome.COMPLETED:
            self.quota.finished(attempt.query, cost)
        self.controller.on_attempt_ended(attempt, took, cost, report)

    def listed(self, engines, whole):
        self.happen(self.controller.endpoints_updated, engines, whole)

    def list_doubted(self, most_ms):
        self.happen(self.controller.mark_endpoints_stale, most_ms)

    def list_confirmed(self):
        self.happen(self.controller.endpoints_confirmed)

    def give_up(self, q):
        """Its place is needed by another one: the controller's final answer, in the next turn."""
        self.happen(self.controller.give_final_answer, q)

    def time_up(self):
        """The front itself has to end: what is still open gets the controller's final answer now."""
        for q in list(self.open):
            self.give_up(q)

    # turns

    def poke(self, at_ms):
        if self.next is None:
            self.next = self.reactor.callLater(max(0.0, at_ms - self.clock_ms()) / 1000, self.turn)
            self.next_ms = at_ms
        elif at_ms < self.next_ms - 0.01:
            self.next.reset(max(0.0, at_ms - self.clock_ms()) / 1000)
            self.next_ms = at_ms

    def turn(self):
        self.next = None
        self.now_ms = now = self.turned_ms = max(self.now_ms, self.clock_ms())
        events, self.events = self.events, []
        for call, what in events:
            self.guarded(call, what)
        due = []  # what they set in turn is for a later turn
        while self.timers and self.timers[0][0] <= now:
            due.append(heapq.heappop(self.timers)[2])
        for call in due:
            self.guarded(call, ())
        if self.events:
            self.poke(now + self.step_ms)
        elif self.timers:
            self.poke(max(self.timers[0][0], now + self.step_ms))

    def guarded(self, call, what):
        """Risk: a fault met for one query takes the front, and all that it holds, with it."""
        try:
            call(*what)
        except Exception:
            self.metrics.count("faults")
            self.log_line("fault", traceback.format_exc())
            if not what:  # it was to happen at a time: the beat must not end with it
                self.call_at(self.now_ms + FAULT_MS, call)
            q = getattr(what[0], "query", what[0]) if what else None
            for q in (
                [q] if isinstance(q, FrontQuery) else [x for x in self.open if x.deadline_ms <= self.now_ms]
            ):
                if q.flight is not None:
                    self.route.give_up(q.flight)
                self.fail(q)

    # the door

    def start_attempt(self, q, engine, patience_ms):
        attempt = domain.Attempt(q, len(q.attempts), engine, self.now_ms)
        q.attempts.append(attempt)
        if q.is_done or len(q.attempts) > self.most or patience_ms <= 0:
            self.metrics.count("attempts never sent")
            self.happen(self.ended, attempt, domain.Outcome.NEVER_SENT, 0.0, None, None)
        else:
            q.flight = self.route.down(attempt, patience_ms)
        return attempt

    def set_grant(self, q, memory_mb, priority):
        q.grant_mb, q.rank_asked = memory_mb, priority
        if q.flight is not None:
            self.route.rerank(q.flight, priority)

    def may_go(self, flight):
        """The controller's last look at an attempt, at the time that it is by now."""
        return self.controller.may_dispatch(flight.attempt, max(self.now_ms, self.clock_ms()))

    def cancel_attempt(self, attempt):
        flight = attempt.query.flight
        if flight is not None and flight.attempt is attempt:
            self.route.give_up(flight)

    def reject(self, q, pause_ms):
        self.answer(q, frames.DEFERRED, [b"no room in time; trying again is harmless"])

    def fail(self, q):
        self.answer(q, frames.KILLED, [b"not finished in time"])

    def answer(self, q, code, body):
        if not q.is_done:
            q.is_done = True
            self.open.discard(q)
            if self.quota is not None and code != frames.FINISHED:
                self.quota.over(q)
            q.client.answer(q, code, body)
            q.client = q.flight = (
                None  # risk: timers keep a query for long after its end, and all that it holds
            )

    def call_at(self, at_ms, call):
        self.timed += 1
        heapq.heappush(self.timers, (at_ms, self.timed, call))
        self.poke(max(at_ms, self.now_ms + self.step_ms))

    def send_health_check(self, engine):
        """PROTOCOL knows no probe; a site that allows them tells how."""

    def watch_endpoints(self, on=True):
        """The bulletin is followed all the time."""

    fetch_endpoints = watch_endpoints

    def close_idle(self, engine):
        self.engines.close_idle(engine)

    def send_to_peer(self, whom, content):
        """Fronts share nothing."""

    def log(self, text):
        self.log_line("controller", text)
