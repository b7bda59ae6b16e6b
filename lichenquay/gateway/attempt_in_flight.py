"""The gateway's state of each attempt in flight, and the tracker that reports how each of them ended."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from lichenquay.admission import domain
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.gateway import engine_protocol
from lichenquay.gateway.attempt_lifecycle import AttemptLifecycle
from lichenquay.gateway.memory_account import MemoryAccount


class AttemptInFlight:
    """The state of one attempt in flight.

    engine, address: where the attempt was sent; the engine's current address may be another one by now.
    lifecycle: whether the attempt may still run at the engine.
    cancel_outcome: the outcome to report, once the gateway has begun to cancel the attempt; else None.
    first_call: the POST that starts the attempt, until its outcome is known.
    connection: the connection on which the engine last replied.
    late_reply: the reply to the first call, if it arrived after polling had begun.
    has_lost_reply: a reply to a call was lost, possibly with a progress event.
    pauses: waits between two calls for the attempt.
    deadline_timer: cancels the attempt at its deadline.
    call_key: what its calls are told from others' by; connections remember it beyond the attempt's end.
    result_bytes: what is reserved for the pages of its result.
    """

    __slots__ = (
        "address",
        "attempt",
        "call_key",
        "cancel_outcome",
        "connection",
        "deadline_ms",
        "deadline_timer",
        "engine",
        "first_call",
        "has_lost_reply",
        "is_over",
        "is_sending_priority",
        "late_reply",
        "lifecycle",
        "pauses",
        "priority",
        "query",
        "request_id",
        "result_bytes",
        "sent_priority",
    )

    def __init__(self, attempt: domain.Attempt, deadline_ms: float):
        """Creates the state of an attempt that has not been sent; it is cancelled at `deadline_ms`."""
        self.attempt = attempt
        self.query = attempt.query
        self.engine = attempt.engine
        self.address = attempt.engine.address
        self.request_id = attempt.query.request_id
        self.deadline_ms = deadline_ms
        self.lifecycle = AttemptLifecycle()
        self.is_over = False
        self.cancel_outcome: domain.Outcome | None = None
        self.first_call = None
        self.connection = None
        self.late_reply = None
        self.has_lost_reply = False
        self.priority = attempt.query.requested_priority
        self.sent_priority = attempt.query.requested_priority
        self.is_sending_priority = False
        self.pauses: set[Deferred] = set()
        self.result_bytes = 0
        self.deadline_timer: ScheduledCall | None = None
        self.call_key = object()

    @property
    def is_ending(self) -> bool:
        """Whether the attempt is over or being cancelled."""
        return self.is_over or self.cancel_outcome is not None

    def abandon_first_call(self) -> None:
        """Closes the connection of the first call, whose reply is no longer needed and may never come."""
        call = self.first_call
        self.first_call = None
        if call is not None:
            call.abandon()

    def end_pauses(self) -> None:
        """Ends all pauses, so that the next call is sent at once."""
        for pause in list(self.pauses):
            self.end_pause(pause)

    def end_pause(self, pause: Deferred) -> None:
        """Ends a pause, unless it has ended already."""
        if pause in self.pauses:
            self.pauses.remove(pause)
            pause.callback(None)


class AttemptTracker:
    """Counts attempts in flight and reports exactly one outcome for each of them to the controller."""

    def __init__(self, metrics, on_ended: Callable, memory: MemoryAccount):
        """Takes `on_ended(in_flight, outcome, cost, load_report, result)`, called once per attempt."""
        self.metrics = metrics
        self.memory = memory
        self.on_ended = on_ended
        self.in_flight_count = 0

    def count_dispatched(self, in_flight: AttemptInFlight) -> None:
        """Counts an attempt that is being sent; its query is held until it has ended."""
        in_flight.query.memory.hold()
        self.in_flight_count += 1
        self.metrics.count("attempts sent")

    def end(self, in_flight: AttemptInFlight, outcome: domain.Outcome, reply=None, result=None) -> None:
        """Ends an attempt and reports its outcome; does nothing if the attempt has ended already.

        reply: the engine's last reply, which may contain a load report, and the cost of a completed query.
        result: the pages of the result, if the attempt completed.
        """
        if in_flight.is_over:
            return
        in_flight.is_over = True
        in_flight.connection = None
        in_flight.late_reply = None
        in_flight.abandon_first_call()
        if in_flight.deadline_timer is not None:
            in_flight.deadline_timer.cancel()
            in_flight.deadline_timer = None
        in_flight.query.memory.release()
        # The pages are given away at once: what the kernel does not take of the answer counts for its client.
        self.memory.add(-in_flight.result_bytes)
        in_flight.result_bytes = 0
        self.in_flight_count -= 1
        self.metrics.count(f"attempts {outcome}")
        is_completed = outcome == domain.Outcome.COMPLETED
        cost = engine_protocol.read_cost(reply) if is_completed else None
        # None: there is no reply. Empty: the engine replied without a load report.
        load_report = None if reply is None else engine_protocol.read_load_report(reply) or {}
        if load_report:
            self.metrics.count("load reports")
        self.on_ended(in_flight, outcome, cost, load_report, result)
