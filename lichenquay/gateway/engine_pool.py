"""The pool of connections to all engines, within a budget of descriptors.

An engine is identified by its uid. Connections belong to an engine, not to its address, which another engine
may have later.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from operator import attrgetter

from lichenquay.admission import domain
from lichenquay.gateway.engine_call import EngineCall, EngineCallError, NotConnectedError, ReplyTimeoutError
from lichenquay.gateway.engine_connection import ConnectionFactory, EngineConnection
from lichenquay.gateway.memory_account import MemoryAccount
from lichenquay.gateway.serving_addresses import ServingAddresses

# A connection is not reused for another query sooner, as a duplicate of its last reply may still arrive.
MIN_IDLE_S = 0.03
MIN_STALE_S = 0.1  # lower bound of `EnginePool.stale_after_s`
STALE_FRACTION_AFTER_BREAK = 0.5  # of the idle time after which a call broke; `stale_after_s` is set to it
STALE_LIMIT_GROWTH = 1.0006  # factor by which `stale_after_s` recovers at each check; it doubles in 30 s
KEEP_ALIVE_FRACTION = 0.5  # of the engines' keep-alive time, for which idle connections are reused
IDLE_SINCE = attrgetter("idle_since_s")
MAX_CONNECTION_ATTEMPTS = 3  # connections tried for a call of which no byte was written


@dataclass(eq=False)
class GatewayEngine(domain.Engine):
    """An engine, its address in the latest endpoint list, and its idle connections, longest idle first.

    last_attempt_ms: when the first byte of the last attempt was written; 0 if there was none.
    """

    address: str = ""
    last_attempt_ms: float = 0.0
    idle_connections: deque = field(default_factory=deque)


class EnginePool:
    """All connections to engines: at most `descriptor_budget`, and `urgent_reserve` more for urgent calls.

    The budget is 0 until the owner sets it from the configured limits. Calls beyond it wait in order.
    """

    def __init__(
        self,
        reactor,
        urgent_reserve: int,
        connect_timeout_ms: float,
        reply_timeout_ms: float,
        keep_alive_ms: float,
        memory: MemoryAccount | None = None,
    ):
        """Creates an empty pool.

        keep_alive_ms: how long engines keep an idle connection open. memory: the account of what is kept of
        incomplete replies; without it, that is not limited.
        """
        self.memory = memory or MemoryAccount()
        self.reactor = reactor
        self.descriptor_budget = 0
        self.urgent_reserve = urgent_reserve
        self.connect_timeout_ms = connect_timeout_ms
        self.reply_timeout_ms = reply_timeout_ms
        self.max_idle_s = keep_alive_ms * KEEP_ALIVE_FRACTION / 1000
        self.stale_after_s = self.max_idle_s  # connections idle for longer may be closing and are not reused
        self.waiting_calls: OrderedDict[EngineCall, None] = OrderedDict()  # the next one first
        self.connections: set[EngineConnection] = set()
        self.addresses = ServingAddresses()
        self.open_count = 0  # connections established or being established
        self.peak_open_count = 0

    def call_later(self, delay_ms: float, call: Callable[[], None]):
        """Schedules `call` in `delay_ms`, at once if that is negative; returns the timer."""
        return self.reactor.callLater(max(0.0, delay_ms) / 1000, call)

    def start_call(self, engine: GatewayEngine, data: bytes, accepts, **options) -> EngineCall:
        """Sends or queues a call, with the options of `EngineCall`; its `reply` is a Deferred of a Reply."""
        call = EngineCall(engine, data, accepts, **options)
        self._submit(call)
        return call

    def pick_idle_connection(self, call: EngineCall) -> EngineConnection | None:
        """Returns the connection of the attempt's last reply, else the one that became idle last, or None.

        A connection that has been idle for too short or too long a time is not used, nor one to an address
        that the engine no longer has.
        """
        if call.needs_new_connection:
            return None
        now_s = self.reactor.seconds()
        preferred = call.preferred_connection
        if (
            preferred is not None
            # If another attempt has used it since, a duplicate of that attempt's reply may arrive.
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
            if idle_s >= MIN_IDLE_S and is_same_address and not connection.past_reply_could_answer(call):
                return connection
        return None

    def has_live_connection(self, engine: GatewayEngine, address: str) -> bool:
        """Returns whether a connection is open and not overdue, which the end of the process would close."""
        return any(
            connection.engine is engine and connection.address == address and not connection.is_overdue
            for connection in self.connections
        )

    def send_waiting(self) -> None:
        """Sends the calls that wait for a descriptor, in order, as far as the budget allows."""
        while self.waiting_calls:
            call, _ = self.waiting_calls.popitem(last=False)
            call.on_over = None
            if not self._try_to_send(call):
                self._queue(call, is_next=True)
                return

    def check_connections(self) -> None:
        """Times out overdue calls and closes stale connections."""
        now_s = self.reactor.seconds()
        self.stale_after_s = min(self.max_idle_s, self.stale_after_s * STALE_LIMIT_GROWTH)
        for connection in [each for each in self.connections if each.is_reply_due(now_s)]:
            connection.read_available()
            # It may have its reply by now, or have ended with a time-out handled before.
            if connection not in self.connections or not connection.is_reply_due(now_s):
                continue
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

    # Reports of connections

    def release(self, connection: EngineConnection) -> None:
        """Marks a connection as idle, as its call has its reply, and sends calls that wait."""
        connection.idle_since_s = self.reactor.seconds()
        connection.engine.idle_connections.append(connection)
        self.send_waiting()

    def on_connection_closed(self, connection: EngineConnection) -> None:
        """Removes a closed connection and gives its descriptor to a call that waits."""
        if self._remove(connection):
            self.send_waiting()

    def on_connection_failed(self, call: EngineCall, error: EngineCallError) -> None:
        """Ends a call that was written; else tries another connection, at most `MAX_CONNECTION_ATTEMPTS`.

        A connection that failed before a byte was written is no evidence about the engine.
        """
        call.connection_attempts += 1
        if call.is_written:
            call.end(error)
        elif call.connection_attempts >= MAX_CONNECTION_ATTEMPTS:
            call.end(NotConnectedError())
        else:
            self._submit(call)

    def on_reused_connection_broken(self, idle_s: float) -> None:
        """Shortens `stale_after_s` after a call broke on a connection that had been idle for `idle_s`.

        A middlebox may close idle connections sooner than the engine does. That shows only at the next call,
        which may be a POST that has run.
        """
        if idle_s > MIN_STALE_S:
            self.stale_after_s = max(
                MIN_STALE_S, min(self.stale_after_s, idle_s * STALE_FRACTION_AFTER_BREAK)
            )

    # Descriptors

    def _submit(self, call):
        """Sends a call or queues it, at the head of the queue if it is urgent."""
        if not self._try_to_send(call):
            self._queue(call, is_next=call.is_urgent)

    def _queue(self, call, is_next):
        """Lets a call wait, before or after all others, until it is sent or over."""
        self.waiting_calls[call] = None
        call.on_over = self._remove_waiting
        if is_next:
            self.waiting_calls.move_to_end(call, last=False)

    def _remove_waiting(self, call):
        self.waiting_calls.pop(call, None)

    def _try_to_send(self, call):
        """Sends a call on an idle or a new connection; returns False if it has to wait for a descriptor."""
        if call.withdraw_if_engine_left():
            return True
        while (connection := self.pick_idle_connection(call)) is not None:
            if connection.is_clean():
                self._send_on_idle(connection, call)
                return True
            connection.read_available()  # it may be a part of the last reply
            connection.abort()
        budget = self.descriptor_budget + (self.urgent_reserve if call.is_urgent else 0)
        if self.open_count >= budget and not self._free_descriptor():
            return False
        self._connect(call)
        return True

    def _send_on_idle(self, connection, call):
        """Sends a call on an idle connection, which stays idle if the call is withdrawn."""
        idle_connections = connection.engine.idle_connections
        idle_connections.remove(connection)  # other calls may be sent while this one is authorized
        if not connection.send(call) and connection in self.connections:
            idle_connections.append(connection)
            connection.engine.idle_connections = deque(sorted(idle_connections, key=IDLE_SINCE))

    def _connect(self, call):
        self.open_count += 1
        self.peak_open_count = max(self.peak_open_count, self.open_count)
        host, _, port = call.address.rpartition(":")
        factory = ConnectionFactory(self, call)
        self.reactor.connectTCP(host, int(port), factory, timeout=self.connect_timeout_ms / 1000)

    def _free_descriptor(self):
        """Closes the connection idle for longest, else the most overdue; returns whether there was one."""
        longest_idle = min(
            (
                connection
                for connection in self.connections
                if connection.engine.idle_connections and connection.engine.idle_connections[0] is connection
            ),
            key=lambda connection: connection.idle_since_s,
            default=None,
        )
        # Connections whose reply may never come must not keep descriptors from the polls that replace them.
        connection = longest_idle or min(
            (connection for connection in self.connections if connection.is_overdue),
            key=lambda connection: connection.reply_due_s,
            default=None,
        )
        if connection is None:
            return False
        self._remove(connection)
        connection.abort(ReplyTimeoutError())
        return True

    def _remove(self, connection):
        """Removes a connection from the pool and its count; returns whether it was in the pool."""
        if connection not in self.connections:
            return False
        self.connections.discard(connection)
        self.open_count -= 1
        if connection in connection.engine.idle_connections:
            connection.engine.idle_connections.remove(connection)
        return True

    def _close_unused(self, connections):
        for connection in connections:
            # Aborting a connection lets a waiting call be sent, possibly on one of the other connections.
            if connection.call is None:
                connection.abort()
