"""One connection to the discovery service, on which long polls follow each other, as PROTOCOL defines."""

import json
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import Protocol

from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.endpoint_events import encode_poll
from lichenquay.gateway.http import ReplyError, ReplyReader, Status
from lichenquay.gateway.sockets import Input, read_available

# How long the service may hold a poll. PROTOCOL allows 5,000 ms; with less, a half-open connection is
# detected sooner.
POLL_WAIT_MS = 1000
SHORT_POLL_WAIT_MS = 1  # while the endpoint list is unconfirmed: the service answers at once
REPLY_MARGIN_MS = 500  # for an answer to arrive after the wait of its poll; then it is overdue
# PROTOCOL: an event of the discovery service counts as announced after at most this time. As long, an answer
# that is overdue is waited for.
MAX_ANNOUNCEMENT_DELAY_MS = 7000.0
EARLY_ANSWER_MS = 100  # an answer without news that comes sooner is followed by a pause of this length
MAX_READS_AT_ONCE = 256  # of what has arrived: 16 MB
INVALID_ANSWER = "invalid answer"  # a reason for the end of a connection


class ConnectionOwner(TypingProtocol):
    """What a connection reports to, and what it asks for."""

    reactor: object
    discovery: Discovery
    host: str

    def now_ms(self) -> float:
        """Returns the time, in ms."""

    def next_poll_wait_ms(self) -> int:
        """Returns the wait of the next poll, in ms."""

    def on_answered(self, connection: "DiscoveryConnection") -> None:
        """Records a valid answer, whose events are applied, before the next poll is sent."""

    def on_lost(self, connection: "DiscoveryConnection", reason: str) -> None:
        """Records, once, that the connection brings nothing more."""


class DiscoveryConnection(Protocol):
    """One connection to the discovery service.

    number: of the connection, for the log. opened_ms: when it came up.
    polled_ms, poll_wait_ms, asked_after: of the latest poll. is_polling: it has no answer yet.
    empty_ms: the latest time at which nothing had arrived that was not read.
    partial_since_ms: when a part of an answer had arrived; None if there is none.
    answer_count: valid answers so far.
    """

    def __init__(self, owner: ConnectionOwner, number: int = 0):
        """Creates a connection that reports to `owner`."""
        self.owner = owner
        self.number = number
        self.reader = ReplyReader()
        self.timer = None
        self.opened_ms = 0.0
        self.polled_ms = 0.0
        self.poll_wait_ms = POLL_WAIT_MS
        self.asked_after = 0
        self.is_polling = False
        self.empty_ms = 0.0
        self.partial_since_ms: float | None = None
        self.answer_count = 0
        self.is_over = False

    def connectionMade(self):
        """Sends the first poll on the new connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.opened_ms = self.owner.now_ms()
        self.poll()

    def poll(self) -> None:
        """Sends a poll."""
        self.stop_timer()
        if self.is_over:
            return
        self.poll_wait_ms = self.owner.next_poll_wait_ms()
        self.asked_after = self.owner.discovery.last_number
        self.polled_ms = self.owner.now_ms()
        self.empty_ms = self.polled_ms
        self.is_polling = True
        self.timer = self.owner.reactor.callLater(MAX_ANNOUNCEMENT_DELAY_MS / 1000, self._end_unanswered)
        self.transport.write(encode_poll(self.owner.host, self.asked_after, self.poll_wait_ms))

    @property
    def answer_due_ms(self) -> float:
        """When the service answers the open poll at the latest, if it does."""
        return self.polled_ms + self.poll_wait_ms

    @property
    def arrived_after_ms(self) -> float:
        """A time at which the latest answer had not arrived yet.

        An answer without news is sent once the wait of its poll is over.
        """
        has_news = self.owner.discovery.last_number > self.asked_after
        return self.empty_ms if has_news else max(self.empty_ms, self.answer_due_ms)

    def is_overdue(self, now_ms: float) -> bool:
        """Returns whether the open poll should have been answered by now."""
        return self.is_polling and now_ms > self.answer_due_ms + REPLY_MARGIN_MS

    def read_pending(self) -> None:
        """Reads what has arrived; the reactor reads it only in its next turn."""
        unread = read_available(self.transport, lambda: not self.is_over, MAX_READS_AT_ONCE)
        if unread is Input.NOTHING:
            self.empty_ms = self.owner.now_ms()
        elif unread is Input.END:
            self.end("closed by the service")

    def dataReceived(self, data):
        """Reads an answer; one that is invalid changes nothing and closes the connection."""
        if self.is_over:
            return
        discovery = self.owner.discovery
        try:
            reply = self.reader.feed(data)
            if reply is None:
                if self.partial_since_ms is None:
                    self.partial_since_ms = self.owner.now_ms()
                return
            if reply.status != Status.OK:
                raise ReplyError(f"status {reply.status}")
            self.partial_since_ms = None
            self.is_polling = False
            last_number_before = discovery.last_number
            discovery.on_answer(json.loads(bytes(reply.body)), self.asked_after)
        except (ReplyError, ValueError, RecursionError) as error:
            discovery.log("discovery", f"discovery: {error}; the endpoint list stays as it was")
            self.end(INVALID_ANSWER)
            return
        self.answer_count += 1
        self.owner.on_answered(self)
        if not reply.keep_alive:
            self.end("closed after an answer")
        elif discovery.last_number == last_number_before and self._came_too_soon():
            # A service that answers at once without new events must not keep the gateway busy.
            self.stop_timer()
            self.timer = self.owner.reactor.callLater(EARLY_ANSWER_MS / 1000, self.poll)
        else:
            self.poll()

    def _came_too_soon(self):
        """Returns whether the service answered without the wait that the poll asked for."""
        return self.owner.now_ms() - self.polled_ms < min(EARLY_ANSWER_MS, self.poll_wait_ms)

    def end(self, reason: str) -> None:
        """Closes the connection, whose further input is ignored; reports it once."""
        if self.is_over:
            return
        self.is_over = True
        self.stop_timer()
        self.transport.abortConnection()
        self.owner.on_lost(self, reason)

    def _end_unanswered(self):
        """Closes the connection unless the answer to its poll has arrived."""
        polled_ms = self.polled_ms
        self.read_pending()
        if self.is_polling and self.polled_ms == polled_ms:
            self.end("no answer")

    def stop_timer(self) -> None:
        """Cancels the timer of the connection, if one is pending."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def connectionLost(self, reason):
        """Reports the end of the connection, unless it was reported."""
        self.end("closed by the service")
