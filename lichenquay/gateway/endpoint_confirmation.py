"""Confirms that the endpoint list is current, by a poll of the discovery service that is answered at once.

The list may lag behind: the service may be unreachable, or an answer on its way. Whether an address is still
its engine's cannot be told from such a list.
"""

import json

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway.discovery import REPLY_TIMEOUT_MS, Discovery
from lichenquay.gateway.endpoint_events import encode_poll
from lichenquay.gateway.http import ReplyError, ReplyReader, Status

POLL_WAIT_MS = 1  # the service answers at once
MIN_INTERVAL_MS = 50  # between two polls


class EndpointConfirmation:
    """Confirms the list on request, with one poll at a time for all requests.

    address: (host, port) of the discovery service; None: the list does not come from it, is current.
    """

    def __init__(self, reactor, timeout_ms: float, metrics):
        """Starts without a service; `discovery` and `address` are set by the owner."""
        self.reactor = reactor
        self.timeout_ms = timeout_ms
        self.metrics = metrics
        self.discovery: Discovery | None = None
        self.address: tuple[str, int] | None = None
        self._waiting: list[Deferred] = []  # for the next poll
        self._asking: list[Deferred] = []  # for the answer to the current one
        self._is_busy = False  # a poll is in progress, or the last one was just now

    def confirm(self) -> Deferred:
        """Returns a Deferred of a bool: whether the list is one that the service gave after this call.

        Newer events are applied before it fires. False if there is no valid answer within the time-out.
        """
        if self.address is None:
            return succeed(True)
        confirmed = Deferred()
        self._waiting.append(confirmed)
        if not self._is_busy:
            self._poll()
        return confirmed

    def _poll(self):
        self._is_busy = True
        self._asking = self._waiting
        self._waiting = []
        self.metrics.count("endpoint lists confirmed")
        _ConfirmationFactory(self)

    def finish(self, is_current: bool) -> None:
        """Reports the outcome of a poll to all that asked before it was sent."""
        asking = self._asking
        self._asking = []
        self.reactor.callLater(MIN_INTERVAL_MS / 1000, self._end_interval)
        for confirmed in asking:
            confirmed.callback(is_current)

    def _end_interval(self):
        self._is_busy = False
        if self._waiting:
            self._poll()


class _ConfirmationFactory(ClientFactory):
    """Makes one connection for one poll, and reports its outcome once.

    The answer is read also after the time-out: what the service has written counts as announced.
    """

    noisy = False

    def __init__(self, confirmation: EndpointConfirmation):
        """Connects to the discovery service."""
        self.confirmation = confirmation
        host, port = confirmation.address
        self.host = f"{host}:{port}"
        self.is_over = False
        timeout_s = confirmation.timeout_ms / 1000
        self.timer = confirmation.reactor.callLater(timeout_s, self.report, False)
        self.connector = confirmation.reactor.connectTCP(host, port, self, timeout=timeout_s)

    def buildProtocol(self, address):
        """Returns the protocol of the connection, which is up."""
        return _ConfirmationProtocol(self)

    def clientConnectionFailed(self, connector, reason):
        """Reports that the service cannot be reached."""
        self.report(False)

    def clientConnectionLost(self, connector, reason):
        """Reports that there is no answer, unless there was one."""
        self.report(False)

    def report(self, is_current):
        """Reports the outcome of the poll, unless it has been reported."""
        if self.is_over:
            return
        self.is_over = True
        if self.timer.active():
            self.timer.cancel()
        self.confirmation.finish(is_current)


class _ConfirmationProtocol(Protocol):
    """Sends the poll and reads its answer."""

    def __init__(self, factory: _ConfirmationFactory):
        """Creates the protocol of one connection."""
        self.factory = factory
        self.reader = ReplyReader()
        self.asked_after = 0
        self.timer = None

    def connectionMade(self):
        """Sends the poll."""
        self.asked_after = self.factory.confirmation.discovery.last_number
        reactor = self.factory.confirmation.reactor
        self.timer = reactor.callLater(REPLY_TIMEOUT_MS / 1000, self.transport.abortConnection)
        self.transport.write(encode_poll(self.factory.host, self.asked_after, POLL_WAIT_MS))

    def dataReceived(self, data):
        """Applies a complete answer; one that is invalid changes nothing."""
        is_current = False
        try:
            reply = self.reader.feed(data)
            if reply is None:
                return
            if reply.status == Status.OK:
                discovery = self.factory.confirmation.discovery
                discovery.on_answer(json.loads(bytes(reply.body)), self.asked_after)
                is_current = True
        except (ReplyError, ValueError, RecursionError) as error:
            self.factory.confirmation.discovery.log("discovery", f"discovery: {error}; not confirmed")
        self.transport.loseConnection()
        self.factory.report(is_current)

    def connectionLost(self, reason):
        """Cancels the timer that ends the connection."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
