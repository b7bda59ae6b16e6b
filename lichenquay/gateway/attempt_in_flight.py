"""What the network side keeps of an attempt in flight, and the account of all of them."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from lichenquay.admission import domain
from lichenquay.gateway import engine_protocol
from lichenquay.gateway.attempt_lifecycle import AttemptLifecycle


class AttemptInFlight:
    """An attempt in flight.

    engine, address: where it was sent; an engine's address may change.
    lifecycle: what may be concluded of it.
    cancel_outcome: the outcome that it ends with, once the gateway has begun to cancel it.
    first_call: its POST, until that is settled.
    connection: the one that its engine last replied on.
    late_reply: the reply to its first call, which came after polls had been sent.
    missed_reply: a reply to a call for it was lost, and a progress event with it, perhaps.
    """

    __slots__ = (
        "address",
        "attempt",
        "cancel_outcome",
        "connection",
        "deadline_ms",
        "engine",
        "first_call",
        "is_over",
        "is_sending_priority",
        "late_reply",
        "lifecycle",
        "missed_reply",
        "pauses",
        "priority",
        "query",
        "request_id",
        "sent_priority",
    )

    def __init__(self, attempt: domain.Attempt, deadline_ms: float):
        """An attempt of which nothing was written; it is cancelled at its deadline."""
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
        self.missed_reply = False
        self.priority = attempt.query.requested_priority
        self.sent_priority = attempt.query.requested_priority
        self.is_sending_priority = False
        self.pauses: set[Deferred] = set()  # between two calls for it

    @property
    def is_ending(self) -> bool:
        """Whether it is over, or being cancelled."""
        return self.is_over or self.cancel_outcome is not None

    def abandon_first_call(self) -> None:
        """Its first call has nothing more to say: its connection is not held for a reply that never comes."""
        call = self.first_call
        self.first_call = None
        if call is not None:
            call.abandon()

    def end_pauses(self) -> None:
        """Something happened: no call waits any longer."""
        for pause in list(self.pauses):
            self.end_pause(pause)

    def end_pause(self, pause: Deferred) -> None:
        """Ends one pause, if it has not ended."""
        if pause in self.pauses:
            self.pauses.remove(pause)
            pause.callback(None)


class AttemptTracker:
    """The account of attempts in flight: each has one outcome, which is reported to the controller."""

    def __init__(self, metrics, on_ended: Callable):
        """`on_ended(in_flight, outcome, cost, load_report, result)`: called once for each attempt."""
        self.metrics = metrics
        self.on_ended = on_ended
        self.in_flight_count = 0

    def dispatched(self) -> None:
        """Counts an attempt that is started."""
        self.in_flight_count += 1
        self.metrics.count("attempts sent")

    def end(self, in_flight: AttemptInFlight, outcome: domain.Outcome, reply=None, result=None) -> None:
        """The one end of an attempt; what comes later for it is ignored.

        `reply`: the engine's last, with its cost and load report. `result`: the pages, where it completed.
        """
        if in_flight.is_over:
            return
        in_flight.is_over = True
        in_flight.connection = None
        in_flight.late_reply = None
        in_flight.abandon_first_call()
        self.in_flight_count -= 1
        self.metrics.count(f"attempts {outcome}")
        is_completed = outcome == domain.Outcome.COMPLETED
        cost = engine_protocol.read_cost(reply) if is_completed else None
        # None: nothing came from the engine. Empty: it replied, and reported nothing.
        load_report = None if reply is None else engine_protocol.read_load_report(reply) or {}
        if load_report:
            self.metrics.count("load reports")
        self.on_ended(in_flight, outcome, cost, load_report, result)
