"""The lifecycle of one attempt at its engine, from its POST to its end: a state machine that performs no I/O.

A query's next attempt may be sent only when the previous one is certainly not running and cannot start to
run any more. The rules by which that is certain are listed in `Proof`. Events are reported through the `on_`
methods, most of them with their time.

The engine's reply 'unknown' proves nothing while the connection of the POST is open and silent (`SENT`): the
engine may read the POST later than calls on other connections. Nor does it prove anything after the gateway
closed that connection, as the engine still reads a POST that has arrived complete.

A connection may come up late at the engine: what was written on one that has not brought a reply yet (a new
connection) may be read up to `MAX_CONNECTION_DELAY_MS` later, also after it was closed or reset.

In no state does 'unknown' or a refused connection prove anything if the address may belong to another engine.
"""

from enum import Enum, StrEnum

ENGINE_FORGETS_AFTER_MS = 2000.0  # PROTOCOL: an engine drops a query that has not been polled for this long
MAX_CONNECTION_DELAY_MS = 1500.0  # STANDING: some connections to engines come up late by so much
MAX_PAUSE_MS = 600.0  # BENCH, 'pauses': engines stand still for so long
TIME_SLACK_MS = 50.0  # PROTOCOL: each time limit is longer by this
MAX_READ_DELAY_MS = (
    MAX_PAUSE_MS + TIME_SLACK_MS
)  # until an engine has read what a connection brought that is up
# Two replies less than this apart count as one; the gateway polls at intervals of 50 ms.
MIN_REPLY_SPACING_MS = 45.0


def _up_ms(written_ms, is_new_connection):
    """Returns by when a connection is up on which a call was written at `written_ms`."""
    return written_ms + (MAX_CONNECTION_DELAY_MS + TIME_SLACK_MS if is_new_connection else 0.0)


class AttemptState(Enum):
    """What is known about an attempt at its engine."""

    UNSENT = "unsent"  # no byte of the POST was written
    SENT = "sent"  # the POST was written; the engine has not replied
    # The engine closed the connection of the POST, or the connection on which it last replied.
    DISCONNECTED = "disconnected"
    ACKNOWLEDGED = "acknowledged"  # the engine replied that it has the query
    OVER = "over"  # the attempt is not running and cannot start to run


class Proof(StrEnum):
    """The rule by which an attempt is over. An attempt that was never sent needs no proof."""

    END_REPORTED = "end reported"  # a complete reply reported the end of the attempt
    NO_LONGER_KNOWN = "no longer known"  # one 'unknown' to a call written after the acknowledgement
    # Two replies 'unknown', at least `MIN_REPLY_SPACING_MS` apart, to calls written after the engine closed
    # the connection, which is up by then ...
    UNKNOWN_AFTER_DISCONNECT = "unknown after disconnect"
    # ... or `MAX_READ_DELAY_MS` after the connection of the POST is up: an engine that replies twice is not
    # paused, and has read all that had arrived.
    UNKNOWN_LONG_AFTER_POST = "unknown long after POST"
    # Two refused connections, at least `MIN_REPLY_SPACING_MS` apart, and no sign that the process is alive.
    PROCESS_GONE = "process gone"
    # No call can have reached the engine for `ENGINE_FORGETS_AFTER_MS` plus `MAX_READ_DELAY_MS`.
    FORGOTTEN = "forgotten"

    @property
    def is_end_reported(self) -> bool:
        """Whether the engine had the query and reported its end; else it may have ended in any way."""
        return self in (Proof.END_REPORTED, Proof.NO_LONGER_KNOWN)


class AttemptLifecycle:
    """Holds the state of one attempt and the proof that it is over.

    Times are milliseconds of one monotonic clock. The time of a call is when its first byte was written.
    """

    __slots__ = (
        "asked_ms",
        "first_refused_ms",
        "first_unknown_ms",
        "last_poll_ms",
        "post_up_ms",
        "previous_asked_ms",
        "proof",
        "state",
        "state_since_ms",
    )

    def __init__(self):
        """Starts as `UNSENT`."""
        self.state = AttemptState.UNSENT
        self.proof: Proof | None = None
        self.post_up_ms = 0.0  # the connection of the POST is up by then
        self.state_since_ms = 0.0  # set when it becomes disconnected or acknowledged
        self.last_poll_ms = 0.0  # when the last poll was written
        self.asked_ms = (
            0.0  # by then the last poll has come to the engine, which may keep the query for it ...
        )
        self.previous_asked_ms = 0.0  # ... and all polls before it
        self.first_unknown_ms: float | None = None  # the first of the two replies that a proof needs
        self.first_refused_ms: float | None = None  # the first of the two refusals that a proof needs

    @property
    def may_run(self) -> bool:
        """Whether the attempt may be running or may still start to run."""
        return self.state in (AttemptState.SENT, AttemptState.DISCONNECTED, AttemptState.ACKNOWLEDGED)

    @property
    def is_over(self) -> bool:
        """Whether the attempt was sent, is certainly not running and cannot start to run."""
        return self.state is AttemptState.OVER

    def on_post_written(self, now_ms: float, is_new_connection: bool = False) -> None:
        """Records that the first byte of the POST was written."""
        if self.state is AttemptState.UNSENT:
            self.state = AttemptState.SENT
            self.post_up_ms = _up_ms(now_ms, is_new_connection)

    def on_poll_written(self, now_ms: float, is_new_connection: bool = False) -> None:
        """Records that a call for progress or a page was written: it may make the engine keep the query."""
        self.last_poll_ms = now_ms
        self.previous_asked_ms = self.asked_ms
        self.asked_ms = max(self.asked_ms, _up_ms(now_ms, is_new_connection))

    def on_poll_not_written(self) -> None:
        """Records that the last call did not reach the engine, and so did not make it keep the query."""
        self.asked_ms = self.previous_asked_ms

    def on_connection_closed_by_engine(self, now_ms: float) -> None:
        """Records that the engine closed the connection of the POST, before a reply, or of its last reply.

        It must not be called if the gateway closed the connection after an invalid reply: the engine may not
        have read the POST yet.
        """
        if self.state in (AttemptState.SENT, AttemptState.ACKNOWLEDGED):
            self._enter(AttemptState.DISCONNECTED, now_ms)

    def on_acknowledged(self, now_ms: float) -> None:
        """Records a reply for this attempt other than its end: the engine has the query."""
        self.on_engine_replied()
        self.post_up_ms = min(self.post_up_ms, now_ms)
        if self.state in (AttemptState.SENT, AttemptState.DISCONNECTED):
            self._enter(AttemptState.ACKNOWLEDGED, now_ms)

    def on_end_reported(self) -> None:
        """Records a complete reply that reports the end of this attempt."""
        self._end(Proof.END_REPORTED)

    def on_engine_replied(self) -> None:
        """Records any reply from the address: an earlier refusal no longer counts."""
        self.first_refused_ms = None

    def on_unknown_reported(
        self,
        written_ms: float,
        now_ms: float,
        may_be_other_engine: bool = False,
        is_poll: bool = True,
    ) -> bool:
        """Records a reply to a call written at `written_ms`. Returns whether the attempt is over.

        The reply reports that the query is unknown or, to a cancellation (`is_poll` is false), cancelled.
        may_be_other_engine: the address may belong to another engine by now, and the reply came on a
        connection on which the engine has not replied for this attempt before. Such a reply is no evidence,
        whatever it reports, but that the call has not made the engine keep the query.
        """
        self.on_engine_replied()
        if is_poll and written_ms == self.last_poll_ms:
            self.on_poll_not_written()
        if may_be_other_engine or not self.may_unknown_count(written_ms):
            return self.is_over
        if self.state is AttemptState.ACKNOWLEDGED:
            self._end(Proof.NO_LONGER_KNOWN)
        elif self.first_unknown_ms is None:
            self.first_unknown_ms = now_ms
        elif written_ms >= self.first_unknown_ms and now_ms - self.first_unknown_ms >= MIN_REPLY_SPACING_MS:
            is_disconnected = self.state is AttemptState.DISCONNECTED
            self._end(Proof.UNKNOWN_AFTER_DISCONNECT if is_disconnected else Proof.UNKNOWN_LONG_AFTER_POST)
        return self.is_over

    def may_unknown_count(self, written_ms: float) -> bool:
        """Returns whether 'unknown' in reply to a call is evidence, if it is the engine's own reply.

        An early call may have been read before the POST.
        """
        if self.state is AttemptState.SENT:
            counts_from_ms = self.post_up_ms + MAX_READ_DELAY_MS
        else:
            counts_from_ms = max(self.state_since_ms, self.post_up_ms)
        return self.may_run and written_ms >= counts_from_ms

    def on_connection_refused(self, now_ms: float, process_may_live: bool) -> bool:
        """Records that the address refused a connection. Returns whether the attempt is over.

        process_may_live: a connection to the engine is open, or was until the gateway closed it, that the end
        of the process would have closed; or the address may no longer be the engine's, or the engine is
        draining, and may run queries without accepting connections.
        """
        if process_may_live or self.state is AttemptState.UNSENT:
            self.first_refused_ms = None
        elif self.first_refused_ms is None:
            self.first_refused_ms = now_ms
        elif now_ms - self.first_refused_ms >= MIN_REPLY_SPACING_MS:
            self._end(Proof.PROCESS_GONE)
        return self.is_over

    def on_time_passed(self, now_ms: float) -> bool:
        """Records the current time. Returns whether the attempt is over, whether by now or before."""
        asked_ms = max(self.asked_ms, self.post_up_ms)
        is_forgotten = now_ms > asked_ms + ENGINE_FORGETS_AFTER_MS + MAX_READ_DELAY_MS
        if self.may_run and is_forgotten:
            self._end(Proof.FORGOTTEN)
        return self.is_over

    def _enter(self, state, now_ms):
        self.state = state
        self.state_since_ms = now_ms
        self.first_unknown_ms = None

    def _end(self, proof):
        if not self.is_over:
            self.state = AttemptState.OVER
            self.proof = proof
