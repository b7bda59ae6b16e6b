"""Certainty: what may be concluded of one attempt at its engine, from POST to ending. Free of I/O; times come in.

Another attempt of a query may go out only when the one before surely is not running and cannot come to run. Proofs:

- nothing of its POST was written (`HELD`);
- its own end: a whole answer that is none but its (`ended`);
- 'unknown' (or an answered DELETE) to a call written once it was known there; or twice, `APART_MS` apart, to calls written
  after its connection had ended from the engine's side, or `STILL_MS` after the POST: an engine that answers two calls
  in a row stands not still, and has read what there was to read (`unknown`);
- its process is gone: refused twice, `APART_MS` apart, with no connection to it open any more, the last ended by its side,
  and no word that it leaves (`refused`);
- its time there is over: nothing that could have reached it for as long as it remembers, and the longest that an
  engine may stand still before it reads what it has (`passed`).

'Unknown' is no proof while the POST's connection is open and silent (`SENT`): the engine may read it later, after calls on
other connections. Nor is it after that connection was ended from this side: what had come whole is still read.
"""

HELD, SENT, CUT, KNOWN, OVER = "held", "sent", "cut", "known", "over"
FORGOTTEN_MS = 2000.0  # PROTOCOL: a query that has not been asked for this long is over
STILL_MS = 500.0  # an engine reads what it has no later than this (seen: up to 370 ms)
APART_MS = 45.0  # between two words that count as two; the front asks 50 ms apart


class Life:
    """One attempt's life at its engine. All times are milliseconds of one clock that does not run backwards by more
    than it is apart; a call's time is when its first byte was written."""

    __slots__ = (
        "state",
        "written_ms",
        "asked_ms",
        "before_ms",
        "since_ms",
        "unknown_ms",
        "refused_ms",
        "proof",
    )

    def __init__(self):
        self.state, self.proof = HELD, None
        self.written_ms = self.since_ms = 0.0  # its POST; since when it is cut or known
        self.asked_ms = self.before_ms = (
            0.0  # the last call that may have kept its engine at it, and the one before
        )
        self.unknown_ms = self.refused_ms = None  # first word of two

    # what happens

    def wrote(self, now):
        """The first byte of its POST."""
        if self.state == HELD:
            self.state, self.written_ms, self.asked_ms = SENT, now, now

    def asked(self, now):
        """A call for its news or pages was written: it may keep the engine at it."""
        self.before_ms, self.asked_ms = self.asked_ms, max(self.asked_ms, now)

    def cut(self, now):
        """The engine's side ended the connection of its POST before an answer came, or the one on which it was last answered
        for. Not what this side ends over an answer that makes no sense: the POST may lie there unread."""
        if self.state in (SENT, KNOWN):
            self.state, self.since_ms, self.unknown_ms = CUT, now, None

    def known(self, now):
        """An answer of its own that is not its end: the engine has it."""
        self.heard()
        if self.state in (SENT, CUT):
            self.state, self.since_ms, self.unknown_ms = KNOWN, now, None

    def ended(self):
        """Its own end, told whole."""
        self.over("its own end")

    def heard(self):
        """Something at its address answered."""
        self.refused_ms = None

    @property
    def counts_ms(self):
        """Since when a call must have been written for 'unknown' to say something of the POST."""
        return self.written_ms + STILL_MS if self.state == SENT else self.since_ms

    def unknown(self, written_ms, now, other=False, keeps=True):
        """To a call written at `written_ms` came the answer that it is not known there, or (`keeps` is false) to DELETE. `other`:
        the engine is leaving or has left the list, and the answer came on a connection on which it has not answered for
        this before: its address may be another engine's by now."""
        self.heard()
        if keeps and written_ms == self.asked_ms:
            self.asked_ms = self.before_ms  # that call kept nobody at it
        if not self.may_run or other and self.state != CUT or written_ms < self.counts_ms:
            return self.state == OVER  # written before: it may have overtaken the POST
        if self.state == KNOWN:
            self.over("no longer known")
        elif self.unknown_ms is None:
            self.unknown_ms = now
        elif written_ms >= self.unknown_ms and now - self.unknown_ms >= APART_MS:
            self.over("cut off and unknown" if self.state == CUT else "long sent and unknown")
        return self.state == OVER

    def refused(self, now, alive):
        """Its address refused a connection. `alive`: a connection to the engine is open that its process would have ended, or was until
        this side ended it; or the list has told that it leaves, and it may work on behind a closed door."""
        if alive or self.state == HELD:
            self.refused_ms = None
        elif self.refused_ms is None:
            self.refused_ms = now
        elif now - self.refused_ms >= APART_MS:
            self.over("gone")
        return self.state == OVER

    def passed(self, now):
        """Whether it is over, by now if not before."""
        if self.state not in (HELD, OVER) and now > self.asked_ms + FORGOTTEN_MS + STILL_MS:
            self.over("its time is over")
        return self.state == OVER

    # what follows

    def over(self, proof):
        if self.state != OVER:
            self.state, self.proof = OVER, proof

    @property
    def may_run(self):
        """Whether it may be running, or come to run."""
        return self.state in (SENT, CUT, KNOWN)
