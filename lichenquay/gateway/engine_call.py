"""One call to an engine: its bytes, what answers it, and the ways in which it ends without an answer."""

from twisted.internet.defer import Deferred

from lichenquay.admission import domain


class NotConnected(Exception):
    """No connection came up: nothing was sent. `refused`: the address itself said so."""

    def __init__(self, refused=False):
        """`refused`: the address itself said so."""
        super().__init__("refused" if refused else "no connection in time")
        self.refused = refused


class NeverSent(Exception):
    """It was given up, or is no longer allowed, before a byte was written. Risk: an engine is blamed for it
    as for one that cannot be reached, and is left alone."""


class Broken(Exception):
    """The connection ended after bytes had been written, and before the answer was whole."""


class Garbled(Exception):
    """An answer that cannot be read, or none to the call."""


class Silent(Exception):
    """No answer in time on a connection that is up."""


class Call:
    """One call: its bytes, what answers to it make sense, and who waits for one. `new`: it starts a
    attempt. `connection`: the connection that the query's last answer came on. `carrier`: the one that
    this call is out on, `went_on` also when it is not any more. `on_late`: told instead when there is no
    answer in time; the call stays out, for its answer still settles something."""

    __slots__ = (
        "engine",
        "address",
        "owner",
        "data",
        "fits",
        "urgent",
        "fresh",
        "new",
        "connection",
        "carrier",
        "went_on",
        "on_written",
        "on_late",
        "may_go",
        "answer",
        "ended",
        "written",
        "tries",
    )

    def __init__(
        self,
        engine,
        data,
        fits,
        urgent=False,
        fresh=False,
        new=False,
        connection=None,
        on_written=None,
        on_late=None,
        may_go=None,
        address=None,
        owner=None,
    ):
        """See the class. `address`: where it goes, if not where the engine is now."""
        self.engine, self.address, self.data, self.fits = engine, address or engine.address, data, fits
        self.owner = owner  # the attempt that it is for
        self.urgent, self.fresh, self.new, self.connection = urgent, fresh, new, connection
        self.on_written, self.on_late, self.may_go, self.carrier, self.went_on = (
            on_written,
            on_late,
            may_go,
            None,
            None,
        )
        self.answer, self.ended, self.written, self.tries = Deferred(), False, False, 0

    def withdraw(self):
        """True if nothing of it has been written; then nothing will be."""
        if not self.written:
            self.end(NeverSent())
        return not self.written

    def abandon(self):
        """Nobody waits for its answer any more: its connection goes."""
        self.ended = True
        if self.carrier is not None:
            self.carrier.drop()

    def void(self):
        """Nobody waits for it; or it would start something on an engine that drains or is gone, or at an
        address that the engine has left. Risk: a drain is told while the connection is still on its way."""
        if self.new and (
            self.engine.state != domain.EndpointState.SERVING or self.engine.address != self.address
        ):
            self.withdraw()
        return self.ended

    def stands(self):
        """Asked in the instant before its first byte: whether it still may go. Risk: what was decided when
        the connection was asked for is not right any more once it is up."""
        if not self.void() and self.may_go is not None and not self.may_go():
            self.withdraw()
        return not self.ended

    def end(self, outcome):
        """Its one end: an answer, or an exception; what comes later is nothing any more. Risk: it ends
        before its caller has it, where it may not go out on the idle connection at hand; `answer` stays."""
        if not self.ended:
            self.ended = True
            self.answer.errback(outcome) if isinstance(outcome, Exception) else self.answer.callback(outcome)
