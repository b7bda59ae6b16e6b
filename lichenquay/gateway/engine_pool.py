"""The connections to all engines, within a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lichenquay.admission import domain
from lichenquay.gateway.engine_call import EngineCall, EngineCallError, NotConnectedError, ReplyTimeoutError
from lichenquay.gateway.engine_connection import ConnectionFactory, EngineConnection

MIN_IDLE_S = 0.03  # between a reply and another query's call: a copy of the reply may come behind it
MIN_STALE_S = 0.1  # what has been idle for less is not taken for stale, whatever breaks
STALE_SHARE_AFTER_BREAK = 0.5  # of the idle time after which a call broke: no connection is used after more
STALE_GROWTH = 1.0006  # that limit grows again by this at each check, twice as long in 30 s
IDLE_SHARE = 0.5  # of the time for which engines keep an idle connection, it is used
MAX_CONNECTION_ATTEMPTS = 3  # connections tried for a call of which nothing has been written


@dataclass(eq=False)
class GatewayEngine(domain.Engine):
    """An engine, its address as the endpoint list last gave it, and its idle connections, oldest first."""

    address: str = ""
    idle_connections: deque = field(default_factory=deque)


class EnginePool:
    """All connections to engines: `descriptor_budget`, and `urgent_reserve` more for urgent calls.

    The budget is 0 until it is set from the configured limits. Calls beyond it wait in order.
    """

    def __init__(
        self,
        reactor,
        urgent_reserve: int,
        connect_timeout_ms: float,
        reply_timeout_ms: float,
        keep_alive_ms: float,
    ):
        """`keep_alive_ms`: for how long engines keep an idle connection."""
        self.reactor = reactor
        self.descriptor_budget = 0
        self.urgent_reserve = urgent_reserve
        self.connect_timeout_ms = connect_timeout_ms
        self.reply_timeout_ms = reply_timeout_ms
        self.max_idle_s = keep_alive_ms * IDLE_SHARE / 1000
        self.stale_after_s = self.max_idle_s  # a connection that has been idle for longer may be closing
        self.waiting_calls: deque[EngineCall] = deque()
        self.connections: set[EngineConnection] = set()
        self.open_count = 0  # connections up or coming up
        self.max_open_count = 0

    def call_later(self, delay_ms: float, call: Callable[[], None]):
        """Calls `call` in so many milliseconds; returns the timer."""
        return self.reactor.callLater(max(0.0, delay_ms) / 1000, call)

    def start_call(self, engine: GatewayEngine, data: bytes, accepts, **options) -> EngineCall:
        """A call on its way; its `reply` is a Deferred of a Reply. `options`: as of `EngineCall`."""
        call = EngineCall(engine, data, accepts, **options)
        self._submit(call)
        return call

    def pick_idle_connection(self, call: EngineCall) -> EngineConnection | None:
        """The connection of the attempt's last reply, else the one that was idle for the shortest time.

        Not one that was idle for too short or too long, nor one to an address that the engine has left.
        """
        if call.needs_new_connection:
            return None
        now_s = self.reactor.seconds()
        preferred = call.preferred_connection
        if (
            preferred is not None
            # once it was another's, a copy of that one's reply may come
            and preferred.attempt is call.attempt
            and preferred in call.engine.idle_connections
            and now_s - preferred.idle_since_s <= self.stale_after_s
        ):
            return preferred
        for connection in reversed(call.engine.idle_connections):
            idle_s = now_s - connection.idle_since_s
            if idle_s > self.stale_after_s:
                return None
            is_same_address = connection.address == call.address
            if idle_s >= MIN_IDLE_S and is_same_address and not connection.last_reply_could_answer(call):
                return connection
        return None

    def has_live_connection(self, engine: GatewayEngine, address: str) -> bool:
        """Whether a connection to it is open, and not overdue: the end of its process would close it."""
        return any(
            connection.engine is engine and connection.address == address and not connection.is_overdue
            for connection in self.connections
        )

    def send_waiting(self) -> None:
        """Sends calls that wait for a descriptor, in order; they wait rather than fail."""
        while self.waiting_calls:
            call = self.waiting_calls.popleft()
            if not self._try_to_send(call):
                self.waiting_calls.appendleft(call)
                return

    def check_connections(self) -> None:
        """Closes connections whose call has waited too long, and those that are stale."""
        now_s = self.reactor.seconds()
        self.stale_after_s = min(self.max_idle_s, self.stale_after_s * STALE_GROWTH)
        overdue = [
            connection
            for connection in self.connections
            if connection.call is not None and connection.reply_due_s < now_s and not connection.is_overdue
        ]
        for connection in overdue:
            if connection.call is None or connection not in self.connections:
                continue  # ended by what the one before set off
            if connection.call.on_timeout:
                connection.is_overdue = True
                connection.call.on_timeout()
            else:
                connection.abort(ReplyTimeoutError())
        stale = [
            connection
            for connection in self.connections
            if connection.call is None and now_s - connection.idle_since_s > self.stale_after_s
        ]
        self._close_unused(stale)

    def close_idle_connections(self, engine: GatewayEngine) -> None:
        """Closes the connections to an engine that carry no call."""
        self._close_unused(list(engine.idle_connections))

    # What connections report.

    def release(self, connection: EngineConnection) -> None:
        """The connection's call has its reply: it is idle, and free for another call."""
        connection.idle_since_s = self.reactor.seconds()
        connection.engine.idle_connections.append(connection)
        self.send_waiting()

    def on_connection_closed(self, connection: EngineConnection) -> None:
        """A connection has ended: its descriptor is given to a waiting call."""
        if self._forget(connection):
            self.send_waiting()

    def on_connection_failed(self, call: EngineCall, error: EngineCallError) -> None:
        """One that broke before a byte was written proves nothing of the engine: another is tried."""
        call.connection_attempts += 1
        if call.is_written:
            call.end(error)
        elif call.connection_attempts >= MAX_CONNECTION_ATTEMPTS:
            call.end(NotConnectedError())
        else:
            self._submit(call)

    def on_reused_connection_broken(self, idle_s: float) -> None:
        """A call broke on a connection that had been idle for `idle_s`.

        Something between gateway and engine may close idle connections sooner than the engine does. It shows
        only at the next call, which may be a POST that has run.
        """
        if idle_s > MIN_STALE_S:
            self.stale_after_s = max(MIN_STALE_S, min(self.stale_after_s, idle_s * STALE_SHARE_AFTER_BREAK))

    # Descriptors.

    def _submit(self, call):
        """Sends a call, or queues it: an urgent one is put at the head."""
        if self._try_to_send(call):
            return
        if call.is_urgent:
            self.waiting_calls.appendleft(call)
        else:
            self.waiting_calls.append(call)

    def _try_to_send(self, call):
        """Puts a call on an idle connection or a new one; False if it has to wait for a descriptor."""
        if call.withdraw_if_engine_left():
            return True
        while (connection := self.pick_idle_connection(call)) is not None:
            if connection.is_clean():
                if call.check_before_sending():
                    connection.engine.idle_connections.remove(connection)
                    connection.send(call)
                return True
            connection.abort()
        budget = self.descriptor_budget + (self.urgent_reserve if call.is_urgent else 0)
        if self.open_count >= budget and not self._free_descriptor():
            return False
        self._connect(call)
        return True

    def _connect(self, call):
        self.open_count += 1
        self.max_open_count = max(self.max_open_count, self.open_count)
        host, _, port = call.address.rpartition(":")
        factory = ConnectionFactory(self, call)
        self.reactor.connectTCP(host, int(port), factory, timeout=self.connect_timeout_ms / 1000)

    def _free_descriptor(self):
        """Closes the connection that was idle longest, for another to be opened; whether there is one."""
        longest_idle = min(
            (
                connection
                for connection in self.connections
                if connection.engine.idle_connections and connection.engine.idle_connections[0] is connection
            ),
            key=lambda connection: connection.idle_since_s,
            default=None,
        )
        # Replies that may never come must leave room for the calls that poll elsewhere.
        connection = longest_idle or min(
            (connection for connection in self.connections if connection.is_overdue),
            key=lambda connection: connection.reply_due_s,
            default=None,
        )
        if connection is None:
            return False
        self._forget(connection)
        connection.abort(ReplyTimeoutError())
        return True

    def _forget(self, connection):
        """Takes it out of the account of descriptors; returns whether it was in there."""
        if connection not in self.connections:
            return False
        self.connections.discard(connection)
        self.open_count -= 1
        if connection in connection.engine.idle_connections:
            connection.engine.idle_connections.remove(connection)
        return True

    def _close_unused(self, connections):
        for connection in connections:
            # Each end makes room for a call that waited, and that may be sent on one of the others by now.
            if connection.call is None:
                connection.abort()
