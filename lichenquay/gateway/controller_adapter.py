"""The adapter between the network side and the admission controller; it makes no decisions.

Events from the network side are queued and delivered to the controller in turns, in order. The controller's
instructions (`GatewayPort`) are carried out at once.
"""

import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from lichenquay.admission import domain
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.gateway.frames import AnswerCode
from lichenquay.gateway.memory_account import MemoryAccount, QueryMemory
from lichenquay.gateway.timer_queue import TimerQueue

FAILED_TIMER_RETRY_MS = 250.0  # until a timer whose call raised an exception fires again
TURN_TOLERANCE_MS = 0.01  # a scheduled turn is not moved forward by less
REJECTED_TEXT = b"no room in time; trying again is harmless"
FAILED_TEXT = b"not finished in time"


@dataclass(eq=False)
class GatewayQuery(domain.Query):
    """A query with its client's connection and what is forwarded to engines unchanged."""

    client: object = None  # the client's connection, until the query is answered
    stream: int = 0
    request_id: str = ""
    idempotency_key: str = ""  # by which engines recognize a repeated attempt
    statement: bytes = b""
    grant_mb: float = 0.0  # memory grant of the next attempts
    requested_priority: int | None = None
    is_known_to_controller: bool = False  # it was passed to the controller
    attempt_in_flight: object = None  # the latest attempt
    memory: QueryMemory = field(default_factory=lambda: QueryMemory(MemoryAccount(), 0))


class QueuedEvent(NamedTuple):
    """A call that delivers an event to the controller in the next turn."""

    call: Callable
    arguments: tuple


class ControllerAdapter:
    """Implements `GatewayPort` and queues the controller's events.

    Turns are at least `min_loop_interval_ms` apart.
    """

    def __init__(self, settings, reactor, engines, now_ms: Callable[[], float], metrics, log):
        """Creates the controller. `engines`: the pool of connections to engines. The owner sets `router`."""
        self.reactor = reactor
        self.engines = engines
        self.clock_ms = now_ms
        self.metrics = metrics
        self.log_line = log
        self.min_loop_interval_ms = settings.gateway.min_loop_interval_ms
        self.max_attempts = settings.permissions.max_attempts
        self.reports_cost = settings.capabilities.reports_cost
        self.router = None
        self.quota = None  # the fleet's account of the tenants' usage, if there is a fleet
        self.open_queries: set[GatewayQuery] = set()
        self.last_query_id = 0
        self.events: list[QueuedEvent] = []
        self.timers = TimerQueue()
        self.next_turn = None  # the reactor's timer ...
        self.next_turn_ms = 0.0  # ... and when it is due
        self.now_ms = now_ms()
        self.last_turn_ms = self.now_ms
        self.controller = settings.controller(self)

    # Events from the network side

    def query_received(self, query: GatewayQuery) -> None:
        """Assigns an identifier to a new query and passes it to the controller."""
        self.last_query_id += 1
        query.id = self.last_query_id
        self.open_queries.add(query)
        self._enqueue(self._admit, query)

    def client_gone(self, query: GatewayQuery) -> None:
        """Ends a query whose client has cancelled it or closed the connection."""
        if query.is_done:
            return
        query.end()
        self.open_queries.discard(query)
        if self.quota is not None:
            self.quota.settle_not_completed(query)
        self.metrics.count("queries cancelled by their clients")
        self._enqueue(self._cancel, query)

    def progress_reported(self, attempt: domain.Attempt, kind: domain.ProgressKind, amount: float) -> None:
        """Passes on the progress that an engine reported of an attempt in flight."""
        self._enqueue(self._on_progress, attempt, kind, amount)

    def attempt_ended(self, in_flight, outcome, cost, load_report, result) -> None:
        """Passes on the end of an attempt; a complete result is sent to the client at once."""
        query = in_flight.query
        if outcome == domain.Outcome.COMPLETED:
            self.answer(query, AnswerCode.COMPLETED, result)
        elapsed_ms = self.clock_ms() - in_flight.attempt.sent_ms
        reported_cost = cost if self.reports_cost else None
        self._enqueue(
            self._on_attempt_ended, in_flight.attempt, outcome, elapsed_ms, reported_cost, load_report
        )

    def endpoints_updated(self, engines: list, whole: bool) -> None:
        """Passes on a change of the endpoint list: all engines (`whole`), or those that changed."""
        self._enqueue(self.controller.endpoints_updated, engines, whole)

    def endpoints_stale(self, max_ms: float) -> None:
        """Tells the controller that the endpoint list may be stale until confirmed, at most for `max_ms`."""
        self._enqueue(self.controller.mark_endpoints_stale, max_ms)

    def endpoints_confirmed(self) -> None:
        """Tells the controller that the endpoint list is up to date."""
        self._enqueue(self.controller.endpoints_confirmed)

    def endpoints_unconfirmed(self, since_ms: float | None) -> None:
        """Tells the controller, at once, since when the list may lack events; None: it lacks none."""
        self.controller.set_endpoints_unconfirmed(since_ms)
        if since_ms is None:
            self._enqueue(self.controller.resume_dispatch)

    def evict(self, query: GatewayQuery) -> None:
        """Has the controller give a query its final answer in the next turn, in favour of another query."""
        self._enqueue(self.controller.give_final_answer, query)

    def evict_all(self) -> None:
        """Has the controller give all open queries their final answers, as the gateway has to end."""
        for query in list(self.open_queries):
            self.evict(query)

    def authorize_dispatch(self, in_flight) -> bool:
        """Returns whether an attempt is still allowed at the current time."""
        now_ms = max(self.now_ms, self.clock_ms())
        if self.controller.authorize_dispatch(in_flight.attempt, now_ms):
            return True
        if self.controller.is_dispatch_suspended(now_ms):
            self.metrics.count("attempts withheld: endpoint list unconfirmed")
            self.log_line(
                "dispatch",
                f"dispatch: withheld query={in_flight.request_id} engine={in_flight.engine.id} "
                "reason='endpoint list unconfirmed'",
            )
        return False

    # Delivery of events

    def _admit(self, query):
        # A query that was cancelled in the same turn must not be sent to an engine and be cancelled there.
        if query.is_done:
            return
        query.is_known_to_controller = True
        if self.quota is not None:
            query.over_quota = self.quota.reserve_unless_over_quota(query)
        self.controller.admit(query)

    def _cancel(self, query):
        query.memory.release()
        if query.is_known_to_controller:
            self.controller.on_client_gone(query)

    def _on_progress(self, attempt, kind, amount):
        if attempt.outcome is None:
            self.controller.on_progress(attempt, kind, amount)

    def _on_attempt_ended(self, attempt, outcome, elapsed_ms, cost, load_report):
        attempt.outcome = outcome
        if self.quota is not None and outcome == domain.Outcome.COMPLETED:
            self.quota.settle_completed(attempt.query, cost)
        self.controller.on_attempt_ended(attempt, elapsed_ms, cost, load_report)

    # Turns

    def run_turn(self) -> None:
        """Delivers the queued events, then makes the calls that are due."""
        self.next_turn = None
        now_ms = max(self.now_ms, self.clock_ms())
        self.now_ms = now_ms
        self.last_turn_ms = now_ms
        events = self.events
        self.events = []
        for event in events:
            self._call_guarded(event.call, event.arguments)
        for scheduled in self.timers.pop_due(now_ms):  # calls that these schedule are left for a later turn
            call = scheduled.take()
            if call is not None:
                self._call_guarded(call, ())
        next_due_ms = self.timers.next_due_ms()
        if self.events:
            self.schedule_turn(now_ms + self.min_loop_interval_ms)
        elif next_due_ms is not None:
            self.schedule_turn(max(next_due_ms, now_ms + self.min_loop_interval_ms))

    def schedule_turn(self, at_ms: float) -> None:
        """Schedules a turn at `at_ms`, unless an earlier one is scheduled."""
        if self.next_turn is None:
            self.next_turn = self.reactor.callLater(self._seconds_until(at_ms), self.run_turn)
            self.next_turn_ms = at_ms
        elif at_ms < self.next_turn_ms - TURN_TOLERANCE_MS:
            self.next_turn.reset(self._seconds_until(at_ms))
            self.next_turn_ms = at_ms

    def _seconds_until(self, at_ms):
        return max(0.0, at_ms - self.clock_ms()) / 1000

    def _enqueue(self, call, *arguments):
        self.events.append(QueuedEvent(call, arguments))
        self.schedule_turn(self.last_turn_ms + self.min_loop_interval_ms)

    def _call_guarded(self, call, arguments):
        """Makes a call; an exception fails the queries it affects, and does not end the gateway."""
        try:
            call(*arguments)
        except Exception:
            self.metrics.count("faults")
            self.log_line("fault", traceback.format_exc())
            if not arguments:  # a timer's call, which may be periodic and must go on
                self.call_at(self.now_ms + FAILED_TIMER_RETRY_MS, call)
            for query in self._affected_queries(arguments):
                if query.attempt_in_flight is not None:
                    self.router.cancel(query.attempt_in_flight)
                self.fail(query)

    def _affected_queries(self, arguments):
        """Returns the query that an event is about; for a timer, the queries whose deadline has passed."""
        subject = arguments[0] if arguments else None
        query = getattr(subject, "query", subject)
        if isinstance(query, GatewayQuery):
            return [query]
        return [query for query in self.open_queries if query.deadline_ms <= self.now_ms]

    # GatewayPort: the controller's instructions

    def start_attempt(self, query, engine, timeout_ms):
        """See GatewayPort. An attempt that may not be sent ends as `NEVER_SENT` in a later turn."""
        attempt = domain.Attempt(query, len(query.attempts), engine, self.now_ms)
        query.attempts.append(attempt)
        if query.is_done or len(query.attempts) > self.max_attempts or timeout_ms <= 0:
            self.metrics.count("attempts never sent")
            self._enqueue(self._on_attempt_ended, attempt, domain.Outcome.NEVER_SENT, 0.0, None, None)
        else:
            query.attempt_in_flight = self.router.start(attempt, timeout_ms)
        return attempt

    def set_grant(self, query, memory_mb, priority):
        """See GatewayPort."""
        query.grant_mb = memory_mb
        query.requested_priority = priority
        if query.attempt_in_flight is not None:
            self.router.set_priority(query.attempt_in_flight, priority)

    def cancel_attempt(self, attempt):
        """See GatewayPort."""
        in_flight = attempt.query.attempt_in_flight
        if in_flight is not None and in_flight.attempt is attempt:
            self.router.cancel(in_flight)

    def reject(self, query, retry_after_ms):
        """See GatewayPort. PROTOCOL has no Retry-After, so `retry_after_ms` is not sent."""
        self.answer(query, AnswerCode.REJECTED, [REJECTED_TEXT])

    def fail(self, query):
        """See GatewayPort."""
        self.answer(query, AnswerCode.FAILED, [FAILED_TEXT])

    def answer(self, query: GatewayQuery, code: AnswerCode, body: list[bytes]) -> None:
        """Sends the final answer of a query, unless it has been answered or cancelled."""
        if query.is_done:
            return
        query.end()
        self.open_queries.discard(query)
        if self.quota is not None and code != AnswerCode.COMPLETED:
            self.quota.settle_not_completed(query)
        query.client.send_answer(query, code, body)
        query.client = None
        query.attempt_in_flight = None
        query.memory.release()

    def call_at(self, at_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """See GatewayPort."""
        self.schedule_turn(max(at_ms, self.now_ms + self.min_loop_interval_ms))
        return self.timers.schedule(at_ms, call)

    def send_health_check(self, engine):
        """See GatewayPort. Does nothing: PROTOCOL has no health check."""

    def watch_endpoints(self, on=True):
        """See GatewayPort. Does nothing: the endpoint list is always watched."""

    def fetch_endpoints(self):
        """See GatewayPort. Does nothing: the endpoint list is always watched."""

    def close_idle_connections(self, engine):
        """See GatewayPort."""
        self.engines.close_idle_connections(engine)

    def send_to_peer(self, peer, content):
        """See GatewayPort. Does nothing: gateways on the platform exchange no messages."""

    def log(self, text):
        """See GatewayPort."""
        self.log_line("controller", text)
