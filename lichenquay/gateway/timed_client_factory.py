"""The base of factories that make one connection within a time-out."""

from twisted.internet.error import TimeoutError
from twisted.internet.protocol import ClientFactory


class TimedClientFactory(ClientFactory):
    """Makes one connection; its time-out counts only if the connection is not up by then.

    The reactor calls timers that are due before it notices connections that have come up. After a pause of
    this process, or a long turn, its own time-out would close them.
    """

    noisy = False

    def __init__(self, reactor):
        """Takes the reactor that makes the connection."""
        self._reactor = reactor
        self._timer = None

    def startedConnecting(self, connector):
        """Replaces the reactor's time-out."""
        connector.cancelTimeout()
        self._timer = self._reactor.callLater(connector.timeout, self._on_due, connector)

    def _on_due(self, connector):
        """Ends the connection after the turn in which the reactor notices whether it is up."""
        self._timer = self._reactor.callLater(0, self._end, connector)

    def _end(self, connector):
        if connector.state == "connecting":
            connector.transport.failIfNotConnected(TimeoutError())

    def stop_timer(self) -> None:
        """Ends the time-out, as the connection is up or has failed."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
