"""The client of the discovery service: follows the endpoint list by HTTP long polls, as PROTOCOL defines."""

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway.endpoint_events import EndpointListError, encode_poll, read_events
from lichenquay.gateway.http import ReplyError, ReplyReader, Status

# How long the service may hold a poll. PROTOCOL allows 5,000 ms; with less, a half-open connection is
# detected sooner.
POLL_WAIT_MS = 1000
FIRST_POLL_WAIT_MS = 1  # until the first answer, as the endpoint list may be stale until then
REPLY_MARGIN_MS = 500  # for an answer to arrive after the wait of its poll
# Well within the 7 s after which an event counts as announced (PROTOCOL, 'Figures').
REPLY_TIMEOUT_MS = POLL_WAIT_MS + REPLY_MARGIN_MS
RETRY_DELAY_MS = 100  # between polls that fail or are answered too soon


class Discovery:
    """The endpoint list as the discovery service has announced it so far."""

    def __init__(
        self,
        known,
        on_endpoints: Callable[[bool, list[EndpointRecord]], None],
        log,
        on_confirmed: Callable[[], None] = lambda: None,
    ):
        """Applies `known`, an answer from before the start, parsed from JSON. Errors: EndpointListError.

        on_endpoints(whole, records): called with each event.
        on_confirmed(): called once, when the discovery service itself has answered.
        """
        self.on_endpoints = on_endpoints
        self.on_confirmed = on_confirmed
        self.log = log
        self.last_number = 0
        self.is_confirmed = False
        self.apply(known)

    def on_answer(self, answer, asked_after: int | None = None) -> None:
        """Applies an answer of the service and confirms the endpoint list. Errors: EndpointListError.

        asked_after: the number in the poll; the answer to another poll may have been newer meanwhile.
        """
        self.apply(answer, asked_after)
        self.confirm()

    def confirm(self) -> None:
        """Marks the endpoint list as confirmed: it was announced after the gateway's start."""
        if not self.is_confirmed:
            self.is_confirmed = True
            self.on_confirmed()

    def apply(self, answer, asked_after: int | None = None) -> None:
        """Applies all new events of an answer, or none of them. Errors: EndpointListError."""
        update = read_events(answer, self.last_number)
        oldest_number = self.last_number if asked_after is None else min(asked_after, self.last_number)
        if update.last_number < oldest_number:
            raise EndpointListError(f"event numbers go back: {update.last_number} after {self.last_number}")
        for event in update.events:
            self.on_endpoints(event.endpoints.is_whole, event.endpoints.records)
        numbers = [self.last_number, update.last_number, *(event.number for event in update.events)]
        self.last_number = max(numbers)


class DiscoveryConnection(Protocol):
    """One connection to the discovery service, on which polls follow each other."""

    def __init__(self, factory):
        """Creates a connection that reports to the factory's `discovery`."""
        self.factory = factory
        self.reader = ReplyReader()
        self.timer = None
        self.polled_s = 0.0
        self.poll_wait_ms = POLL_WAIT_MS  # of the current poll ...
        self.asked_after = 0  # ... and its number

    def connectionMade(self):
        """Sends the first poll on the new connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._poll()

    def stop_timer(self):
        """Cancels the timer of the connection, if one is pending."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _poll(self):
        self.stop_timer()
        discovery = self.factory.discovery
        self.poll_wait_ms = POLL_WAIT_MS if discovery.is_confirmed else FIRST_POLL_WAIT_MS
        self.asked_after = discovery.last_number
        poll = encode_poll(self.factory.host, self.asked_after, self.poll_wait_ms)
        self.polled_s = self.factory.reactor.seconds()
        self.timer = self.factory.reactor.callLater(REPLY_TIMEOUT_MS / 1000, self.transport.abortConnection)
        self.transport.write(poll)

    def dataReceived(self, data):
        """Reads an answer; one that is invalid changes nothing and closes the connection."""
        if self.factory.stopped:
            return
        discovery = self.factory.discovery
        try:
            reply = self.reader.feed(data)
            if reply is None:
                return
            if reply.status != Status.OK:
                raise ReplyError(f"status {reply.status}")
            last_number_before = discovery.last_number
            discovery.on_answer(json.loads(bytes(reply.body)), self.asked_after)
        except (ReplyError, ValueError, RecursionError) as error:
            discovery.log("discovery", f"discovery: {error}; the endpoint list stays as it was")
            self.transport.abortConnection()
            return
        if not reply.keep_alive:
            self.transport.loseConnection()
        elif discovery.last_number == last_number_before and self._came_too_soon():
            # A service that answers at once without new events must not keep the gateway busy.
            self.stop_timer()
            self.timer = self.factory.reactor.callLater(RETRY_DELAY_MS / 1000, self._poll)
        else:
            self._poll()

    def _came_too_soon(self):
        """Returns whether the service answered without the wait that the poll asked for."""
        waited_s = self.factory.reactor.seconds() - self.polled_s
        return waited_s < min(RETRY_DELAY_MS, self.poll_wait_ms) / 1000

    def connectionLost(self, reason):
        """Cancels the timer; the factory reconnects."""
        self.stop_timer()


class DiscoveryFactory(ClientFactory):
    """Reconnects at once, or after a short pause if the last connection failed or was up only briefly.

    The pause is short because a drain may be announced meanwhile.
    """

    noisy = False

    def __init__(self, reactor, discovery, host, port, connect_timeout_ms):
        """Connects to the discovery service at once."""
        self.reactor = reactor
        self.discovery = discovery
        self.host = f"{host}:{port}"
        self.connected_s = 0.0
        self.stopped = False
        self.connector = reactor.connectTCP(host, port, self, timeout=connect_timeout_ms / 1000)

    def stop(self):
        """Closes the connection and handles nothing more on it, as the service has moved."""
        self.stop_reconnecting()
        self.connector.disconnect()

    def stop_reconnecting(self):
        """Ignores all further answers and makes no other connection."""
        self.stopped = True

    def buildProtocol(self, address):
        """Returns the protocol of a connection that is up."""
        self.connected_s = self.reactor.seconds()
        return DiscoveryConnection(self)

    def clientConnectionLost(self, connector, reason):
        """Reconnects; after a pause if the connection was up for less than `RETRY_DELAY_MS`."""
        if self.reactor.seconds() - self.connected_s < RETRY_DELAY_MS / 1000:
            self._reconnect_later(connector)
        else:
            self._reconnect(connector)

    def clientConnectionFailed(self, connector, reason):
        """Reconnects after a pause."""
        self._reconnect_later(connector)

    def _reconnect_later(self, connector):
        self.reactor.callLater(RETRY_DELAY_MS / 1000, self._reconnect, connector)

    def _reconnect(self, connector):
        if not self.stopped:
            connector.connect()
