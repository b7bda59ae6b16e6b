"""The watch of the endpoint list: keeps a long poll of the discovery service open, replaced when in doubt.

Whoever asks the discovery service anew counts as told of all it has. There is therefore one client of it: a
question on a new connection makes this the watch as soon as it is answered, in place of all earlier ones.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from lichenquay.gateway.clock import now_ms as unix_now_ms
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.discovery_connection import (
    INVALID_ANSWER,
    POLL_WAIT_MS,
    SHORT_POLL_WAIT_MS,
    DiscoveryConnection,
)
from lichenquay.gateway.endpoint_currency import EndpointCurrency
from lichenquay.gateway.timed_client_factory import TimedClientFactory

RETRY_DELAY_MS = 100  # before another connection, if the last one failed or was up only as long
CHECK_INTERVAL_MS = 25  # how often connections are checked for what was not read, and for silence
MIN_CONFIRMATION_INTERVAL_MS = 50  # between two confirmations
MAX_PARTIAL_MS = 100  # an answer that stays incomplete for longer is asked for on another connection
ASK_AGAIN_MS = 500  # likewise a poll that is not answered
MAX_CONNECTIONS = 6


class EndpointWatch:
    """Follows the endpoint list of one discovery service, and confirms on request that the list is current.

    connections: those that are up, oldest first. address: (host, port); None: the list does not come from a
    discovery service and is current.
    """

    def __init__(
        self,
        reactor,
        currency: EndpointCurrency,
        connect_timeout_ms: float,
        metrics,
        log: Callable[[str, str], None],
        now_ms: Callable[[], float] = unix_now_ms,
    ):
        """Starts without an address; `start` connects. The owner sets `discovery`, the list."""
        self.reactor = reactor
        self.discovery: Discovery | None = None
        self.currency = currency
        self.connect_timeout_ms = connect_timeout_ms
        self.metrics = metrics
        self.log = log
        self.now_ms = now_ms
        self.address: tuple[str, int] | None = None
        self.connections: list[DiscoveryConnection] = []
        self.is_stopped = False
        self._attempts: set[_ConnectionAttempt] = set()  # connections being established
        self._opened_count = 0
        self._failed_attempts = 0  # since a connection came up
        self._last_opened_ms = 0.0
        self._retry_timer = None
        self._check_timer = None
        self._is_reading = False
        self._waiting: list[Deferred] = []  # for the next confirmation
        self._asking: list[Deferred] = []  # for the current one, ...
        self._asked_ms = 0.0  # ... which began then
        self._is_confirming = False  # a confirmation is in progress, or the last one was just now
        self._confirmation_timer = None

    @property
    def host(self) -> str:
        """The Host header of polls."""
        host, port = self.address
        return f"{host}:{port}"

    # Interface

    def start(self, address: tuple[str, int]) -> None:
        """Connects to the discovery service, in place of an earlier one, of which nothing more is read."""
        is_move = self.address is not None
        if is_move:
            self.read_pending()  # what has arrived was announced
            self._disconnect()
        self.currency.on_watch_lost(self.now_ms())
        self.address = address
        self._open("moved" if is_move else "started")
        if self._check_timer is None:
            self._check()

    def stop(self) -> None:
        """Closes all connections and makes no other."""
        self.is_stopped = True
        self._disconnect()
        if self._check_timer is not None and self._check_timer.active():
            self._check_timer.cancel()

    def confirm(self) -> Deferred:
        """Returns a Deferred of a bool: whether the list is one that the service gave after this call.

        Newer events are applied before it fires. False if there is no valid answer within the time-out of a
        connection.
        """
        if self.address is None:
            return succeed(True)
        confirmed = Deferred()
        self._waiting.append(confirmed)
        if not self._is_confirming:
            self._ask()
        return confirmed

    def read_pending(self) -> None:
        """Applies what has arrived, and notices silence, before something is done by the endpoint list."""
        if self._is_reading:
            return
        self._is_reading = True
        try:
            for connection in list(self.connections):
                connection.read_pending()
            now_ms = self.now_ms()
            if self.connections and all(connection.is_overdue(now_ms) for connection in self.connections):
                self.currency.on_watch_lost(max(connection.answer_due_ms for connection in self.connections))
            had_given_up = self.currency.has_given_up
            self.currency.on_check(now_ms)
            if self.currency.has_given_up and not had_given_up:
                self.metrics.count("endpoint lists used unconfirmed")
                self.log("watch", "watch: no answer of the discovery service; the last list is in force")
        finally:
            self._is_reading = False

    # Confirmations

    def _ask(self):
        self._is_confirming = True
        self._asking = self._waiting
        self._waiting = []
        self._asked_ms = self.now_ms()
        self.metrics.count("endpoint lists confirmed")
        self._confirmation_timer = self.reactor.callLater(
            self.connect_timeout_ms / 1000, self._on_confirmation_due
        )
        self._open("confirmation")

    def _on_confirmation_due(self):
        self.read_pending()  # the answer may have arrived
        self._finish_asking(False)

    def _finish_asking(self, is_current):
        """Reports the outcome of a confirmation to all that asked for it."""
        asking = self._asking
        self._asking = []
        if not asking:
            return
        if self._confirmation_timer.active():
            self._confirmation_timer.cancel()
        if not is_current:
            self.metrics.count("endpoint lists not confirmed")
        if not is_current and not self._failed_attempts:
            self.log("watch", f"watch: not confirmed after_ms={self.now_ms() - self._asked_ms:.0f}")
        self.reactor.callLater(MIN_CONFIRMATION_INTERVAL_MS / 1000, self._end_interval)
        for confirmed in asking:
            confirmed.callback(is_current)

    def _end_interval(self):
        self._is_confirming = False
        if self._waiting and not self.is_stopped:
            self._ask()

    # Reports of connections

    def next_poll_wait_ms(self) -> int:
        """Returns the wait of the next poll: a short one while the list is unconfirmed."""
        is_certain = self.discovery.is_confirmed and self.currency.is_current
        return POLL_WAIT_MS if is_certain else SHORT_POLL_WAIT_MS

    def on_answered(self, connection: DiscoveryConnection) -> None:
        """Makes the connection the watch, in place of all earlier ones."""
        now_ms = self.now_ms()
        unconfirmed_since_ms = self.currency.since_ms
        self.currency.on_answered(connection.polled_ms, connection.arrived_after_ms, now_ms)
        self._log_answer(connection, unconfirmed_since_ms, now_ms)
        while self.connections and self.connections[0] is not connection:
            self.connections[0].end("replaced")
        if self._asking and connection.polled_ms >= self._asked_ms:
            self._finish_asking(True)

    def _log_answer(self, connection, unconfirmed_since_ms, now_ms):
        """Logs an answer that has news, or ends a time for which the list was unconfirmed too long."""
        if self.discovery.last_number > connection.asked_after:
            self.log(
                "announcement",
                f"watch: events after={connection.asked_after} last={self.discovery.last_number} "
                f"connection={connection.number} polled_ms_ago={now_ms - connection.polled_ms:.0f} "
                f"unread_ms_at_most={now_ms - connection.arrived_after_ms:.0f}",
            )
        if unconfirmed_since_ms is None or self.currency.since_ms is not None:
            return
        unconfirmed_ms = now_ms - unconfirmed_since_ms
        if unconfirmed_ms > self.currency.tolerance_ms:
            self.metrics.count("endpoint lists unconfirmed too long")
            self.log(
                "watch", f"watch: confirmed connection={connection.number} after_ms={unconfirmed_ms:.0f}"
            )

    def on_lost(self, connection: DiscoveryConnection, reason: str) -> None:
        """Records a connection that is over, and connects again if it was the last one."""
        if connection not in self.connections:
            return  # disconnected on purpose
        self.connections.remove(connection)
        now_ms = self.now_ms()
        age_ms = now_ms - connection.opened_ms
        self.metrics.count(f"watch connections {reason}")
        if reason != "replaced":
            self.log(
                "watch",
                f"watch: ended connection={connection.number} reason={reason!r} age_ms={age_ms:.0f} "
                f"answers={connection.answer_count} polled_ms_ago={now_ms - connection.polled_ms:.0f}",
            )
        if self.is_stopped or self.connections:
            return
        if reason == INVALID_ANSWER:  # it cannot tell: the last list remains in force
            self.currency.on_unreadable()
        else:
            self.currency.on_watch_lost(now_ms)
        if not self._attempts:
            self._finish_asking(False)
            self._reconnect(0.0 if age_ms >= RETRY_DELAY_MS else RETRY_DELAY_MS, reason)

    # Connections

    def _open(self, reason):
        """Opens another connection, in place of the oldest one that is overdue if there are enough."""
        if self.is_stopped:
            return
        if len(self.connections) + len(self._attempts) >= MAX_CONNECTIONS:
            now_ms = self.now_ms()
            overdue = next((each for each in self.connections if each.is_overdue(now_ms)), None)
            if overdue is None:
                return
            overdue.end("no answer")
        self._last_opened_ms = self.now_ms()
        self._opened_count += 1
        self.metrics.count(f"watch connections opened: {reason}")
        attempt = _ConnectionAttempt(self, self._opened_count)
        self._attempts.add(attempt)
        host, port = self.address
        attempt.connector = self.reactor.connectTCP(
            host, port, attempt, timeout=self.connect_timeout_ms / 1000
        )

    def _reconnect(self, delay_ms, reason):
        if self._retry_timer is not None and self._retry_timer.active():
            return
        self._retry_timer = self.reactor.callLater(delay_ms / 1000, self._retry, reason)

    def _retry(self, reason):
        if not self.connections and not self._attempts:
            self._open(reason)

    def on_connected(self, attempt: "_ConnectionAttempt") -> DiscoveryConnection:
        """Returns the protocol of a connection that is up; it asks at once."""
        self._attempts.discard(attempt)
        if self._failed_attempts:
            failed = self._failed_attempts
            self.log("watch", f"watch: connected again connection={attempt.number} failed_attempts={failed}")
            self._failed_attempts = 0
        connection = DiscoveryConnection(self, attempt.number)
        self.connections.append(connection)
        self.currency.on_asked(self.now_ms())
        return connection

    def on_connect_failed(self, attempt: "_ConnectionAttempt", reason: str) -> None:
        """Records a connection that did not come up, and tries again if there is no other."""
        if attempt not in self._attempts:
            return
        self._attempts.discard(attempt)
        self.metrics.count("watch connections not established")
        if not self._failed_attempts:
            self.log("watch", f"watch: no connection={attempt.number} reason={reason!r}")
        self._failed_attempts += 1
        if self._asking and not self._attempts:
            self._finish_asking(False)
        if not self.connections and not self._attempts:
            self.currency.on_unreachable()
            self._reconnect(RETRY_DELAY_MS, "not established")

    def _disconnect(self):
        attempts = self._attempts
        self._attempts = set()
        for attempt in attempts:
            attempt.connector.disconnect()
        connections = self.connections
        self.connections = []
        for connection in connections:
            connection.end("stopped")

    def _check(self):
        """Reads what has arrived, and asks on another connection where an answer is overdue."""
        self._check_timer = self.reactor.callLater(CHECK_INTERVAL_MS / 1000, self._check)
        self.read_pending()
        if not self.connections or self._attempts:
            return
        now_ms = self.now_ms()
        if now_ms - self._last_opened_ms < ASK_AGAIN_MS:
            return
        partial_since_ms = self.connections[-1].partial_since_ms
        if partial_since_ms is not None and now_ms - partial_since_ms > MAX_PARTIAL_MS:
            self._open("incomplete answer")
        elif not self.currency.is_current:
            self._open("no answer")


class _ConnectionAttempt(TimedClientFactory):
    """Makes one connection for a watch."""

    def __init__(self, watch: EndpointWatch, number: int):
        """Creates the factory of connection `number`; the watch sets `connector`."""
        super().__init__(watch.reactor)
        self.watch = watch
        self.number = number
        self.connector = None

    def buildProtocol(self, address):
        """Returns the protocol of the connection, or None if it is not wanted any more."""
        self.stop_timer()
        if self not in self.watch._attempts:
            return None
        return self.watch.on_connected(self)

    def clientConnectionFailed(self, connector, reason):
        """Reports that the service cannot be reached."""
        self.stop_timer()
        self.watch.on_connect_failed(self, reason.getErrorMessage())
