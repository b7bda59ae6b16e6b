"""The lifecycle of one attempt at its engine, from its POST to its end: a state machine, free of I/O.

Another attempt of a query may be sent only when the one before is certainly not running and cannot come to
run. An attempt is over by one of the rules that `Proof` lists; each is a method here, and times come in with
the calls.

'Unknown' from the engine is no proof while the POST's connection is open and silent (`SENT`): the engine may
read the POST later, after calls on other connections. Nor is it after that connection was closed by the
gateway: what had arrived whole is still read.
"""

from enum import Enum, StrEnum

FORGOTTEN_MS = 2000.0  # PROTOCOL: an engine drops a query that has not been polled for this long
READ_DELAY_MS = 500.0  # an engine reads what it has received no later than this (seen: up to 370 ms)
MIN_SPACING_MS = 45.0  # between two replies that count as two; the gateway polls 50 ms apart


class AttemptState(Enum):
    """What is known of an attempt at its engine."""

    UNSENT = "unsent"  # nothing of its POST was written
    SENT = "sent"  # its POST was written; nothing is known of it
    # the engine closed the connection of its POST, or the last one that it replied on
    DISCONNECTED = "disconnected"
    ACKNOWLEDGED = "acknowledged"  # the engine replied for it
    OVER = "over"  # it is not running, and cannot come to run


class Proof(StrEnum):
    """By which rule an attempt is over; an attempt of which nothing was written needs none."""

    END_REPORTED = "end reported"  # a whole reply of its own that is an end
    NO_LONGER_KNOWN = "no longer known"  # one 'unknown' to a call written since it was acknowledged
    # Two 'unknown' at least `MIN_SPACING_MS` apart, to calls written after its connection was closed by the
    # engine ...
    UNKNOWN_AFTER_DISCONNECT = "unknown after disconnect"
    # ... or `READ_DELAY_MS` after its POST: an engine that replies twice is not paused, and has read all
    # there was.
    UNKNOWN_LONG_AFTER_POST = "unknown long after POST"
    # Two refused connections at least `MIN_SPACING_MS` apart, while nothing shows that its process may live.
    PROCESS_GONE = "process gone"
    # No call that could have reached it for as long as it is remembered, and as an engine may take to read
    # one.
    FORGOTTEN = "forgotten"


class AttemptLifecycle:
    """One attempt, its state and the proof that it is over.

    Times are milliseconds of one monotonic clock; a call's time is when its first byte was written.
    """

    __slots__ = (
        "first_refused_ms",
        "first_unknown_ms",
        "last_poll_ms",
        "posted_ms",
        "previous_poll_ms",
        "proof",
        "state",
        "state_since_ms",
    )

    def __init__(self):
        """An attempt of which nothing was written."""
        self.state = AttemptState.UNSENT
        self.proof: Proof | None = None
        self.posted_ms = 0.0
        self.state_since_ms = 0.0  # since when it is disconnected or acknowledged
        self.last_poll_ms = 0.0  # the last call that may have kept its engine at it ...
        self.previous_poll_ms = 0.0  # ... and the one before
        self.first_unknown_ms: float | None = None  # the first of two
        self.first_refused_ms: float | None = None

    @property
    def may_run(self) -> bool:
        """Whether it may be running, or come to run."""
        return self.state in (AttemptState.SENT, AttemptState.DISCONNECTED, AttemptState.ACKNOWLEDGED)

    @property
    def is_over(self) -> bool:
        """Whether it is certainly not running, and cannot come to run, having been sent."""
        return self.state is AttemptState.OVER

    def post_written(self, now_ms: float) -> None:
        """The first byte of its POST was written."""
        if self.state is AttemptState.UNSENT:
            self.state = AttemptState.SENT
            self.posted_ms = now_ms
            self.last_poll_ms = now_ms

    def poll_written(self, now_ms: float) -> None:
        """A call for its progress or pages was written: it may keep the engine at it."""
        self.previous_poll_ms = self.last_poll_ms
        self.last_poll_ms = max(self.last_poll_ms, now_ms)

    def poll_not_written(self) -> None:
        """The last call did not reach the engine: it kept the engine at nothing."""
        self.last_poll_ms = self.previous_poll_ms

    def connection_closed_by_engine(self, now_ms: float) -> None:
        """The engine closed the connection of its POST before a reply, or the one that it last replied on.

        Not called where the gateway closes the connection after a reply that is not valid: the engine may not
        have read the POST yet.
        """
        if self.state in (AttemptState.SENT, AttemptState.ACKNOWLEDGED):
            self._enter(AttemptState.DISCONNECTED, now_ms)

    def acknowledged(self, now_ms: float) -> None:
        """A reply of its own that is not its end: the engine has it."""
        self.engine_replied()
        if self.state in (AttemptState.SENT, AttemptState.DISCONNECTED):
            self._enter(AttemptState.ACKNOWLEDGED, now_ms)

    def end_reported(self) -> None:
        """Its own end, reported whole."""
        self._end(Proof.END_REPORTED)

    def engine_replied(self) -> None:
        """Something at its address replied: an earlier refusal does not count."""
        self.first_refused_ms = None

    def unknown_reported(
        self,
        written_ms: float,
        now_ms: float,
        may_be_other_engine: bool = False,
        is_poll: bool = True,
    ) -> bool:
        """A reply to a call written at `written_ms`: it is not known there, or (no poll) it was cancelled.

        may_be_other_engine: the engine is leaving or has left the endpoint list, and the reply came on a
        connection on which it has not replied for this attempt before: its address may be another engine's by
        now. Returns whether the attempt is over.
        """
        self.engine_replied()
        if is_poll and written_ms == self.last_poll_ms:
            self.poll_not_written()
        if not self._counts_as_unknown(written_ms, may_be_other_engine):
            return self.is_over
        if self.state is AttemptState.ACKNOWLEDGED:
            self._end(Proof.NO_LONGER_KNOWN)
        elif self.first_unknown_ms is None:
            self.first_unknown_ms = now_ms
        elif written_ms >= self.first_unknown_ms and now_ms - self.first_unknown_ms >= MIN_SPACING_MS:
            is_disconnected = self.state is AttemptState.DISCONNECTED
            self._end(Proof.UNKNOWN_AFTER_DISCONNECT if is_disconnected else Proof.UNKNOWN_LONG_AFTER_POST)
        return self.is_over

    def connection_refused(self, now_ms: float, process_may_live: bool) -> bool:
        """Its address refused a connection.

        process_may_live: a connection to the engine is open that the end of its process would have closed, or
        was until the gateway closed it; or the engine drains, and may work on without accepting connections.
        Returns whether the attempt is over.
        """
        if process_may_live or self.state is AttemptState.UNSENT:
            self.first_refused_ms = None
        elif self.first_refused_ms is None:
            self.first_refused_ms = now_ms
        elif now_ms - self.first_refused_ms >= MIN_SPACING_MS:
            self._end(Proof.PROCESS_GONE)
        return self.is_over

    def time_passed(self, now_ms: float) -> bool:
        """The time is `now_ms`. Returns whether the attempt is over, by now if not before."""
        is_forgotten = now_ms > self.last_poll_ms + FORGOTTEN_MS + READ_DELAY_MS
        if self.may_run and is_forgotten:
            self._end(Proof.FORGOTTEN)
        return self.is_over

    def _counts_as_unknown(self, written_ms, may_be_other_engine):
        """Whether 'unknown' proves anything about the POST; a call written before may have overtaken it."""
        if not self.may_run:
            return False
        if may_be_other_engine and self.state is not AttemptState.DISCONNECTED:
            return False
        is_sent = self.state is AttemptState.SENT
        counts_from_ms = self.posted_ms + READ_DELAY_MS if is_sent else self.state_since_ms
        return written_ms >= counts_from_ms

    def _enter(self, state, now_ms):
        self.state = state
        self.state_since_ms = now_ms
        self.first_unknown_ms = None

    def _end(self, proof):
        if not self.is_over:
            self.state = AttemptState.OVER
            self.proof = proof
