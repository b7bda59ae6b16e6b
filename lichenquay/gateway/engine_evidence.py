"""What replies and refused connections at an address say about the engine of an attempt."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.gateway.attempt_in_flight import AttemptInFlight
from lichenquay.gateway.engine_protocol import is_overloaded
from lichenquay.gateway.http import Reply


class TimedReply(NamedTuple):
    """A reply, and when the first byte of its call was written, in ms."""

    reply: Reply
    written_ms: float


class EngineEvidence:
    """Tells whether the address of an attempt is still its engine's, and records refused connections."""

    def __init__(self, engines, confirm_endpoints: Callable[[], Deferred], now_ms: Callable[[], float]):
        """Takes `confirm_endpoints`, which returns a Deferred of whether the endpoint list is current."""
        self.engines = engines
        self.confirm_endpoints = confirm_endpoints
        self.now_ms = now_ms

    @inlineCallbacks
    def record_refusal(self, in_flight: AttemptInFlight):
        """Records that the address refused a connection; a Deferred of whether the attempt is over."""
        refused_ms = self.now_ms()
        may_live = self._process_may_live(in_flight)
        if not may_live:
            is_certain = yield self._confirm_address(in_flight)
            may_live = not is_certain or self._process_may_live(in_flight)
        return in_flight.lifecycle.on_connection_refused(refused_ms, may_live)

    def _process_may_live(self, in_flight):
        """Returns whether the engine's process may be alive although its address refuses connections.

        That is so while the first call is open, another connection is open, the gateway itself closed the
        connection of the last reply, or the address is not certainly the engine's. An engine that accepts no
        new connections but goes on working must not be taken for gone. A reset together with a refusal proves
        no more.
        """
        last_connection = in_flight.connection
        closed_locally = last_connection is not None and last_connection.closed_locally
        return (
            in_flight.first_call is not None
            or closed_locally
            or not self._is_address_certain(in_flight)
            or self.engines.has_live_connection(in_flight.engine, in_flight.address)
        )

    @inlineCallbacks
    def may_be_other_engine(self, in_flight: AttemptInFlight, timed_reply: TimedReply):
        """Returns a Deferred of whether a reply may be that of another engine.

        Only the connection of the attempt's last reply certainly leads to its engine. A reply that proves
        nothing whoever sent it counts as another engine's, without a poll of the discovery service.
        """
        reply = timed_reply.reply
        if reply.connection is in_flight.connection:
            return False
        if not is_overloaded(reply) and not in_flight.lifecycle.may_unknown_count(timed_reply.written_ms):
            return True
        is_certain = yield self._confirm_address(in_flight)
        return not is_certain

    @inlineCallbacks
    def _confirm_address(self, in_flight):
        """Returns whether the attempt's address is its engine's by an endpoint list that is current.

        An engine whose drain this gateway has not been told yet may have closed its listening socket, and
        another one may have its address. Nothing follows on the attempt of a query that is done and has no
        ordering key: it is not worth a poll.
        """
        query = in_flight.query
        if not self._is_address_certain(in_flight):
            return False
        if query.is_done and not query.ordering_key:
            return True
        is_current = yield self.confirm_endpoints()
        return is_current and self._is_address_certain(in_flight)

    def _is_address_certain(self, in_flight):
        return self.engines.addresses.is_certain(in_flight.engine, in_flight.address)
