"""Runs a gateway with a fault that the audit of a soak run has to find: `planted_faults.py NAME`."""

import runpy
import sys
from collections.abc import Callable

from lichenquay.admission import retry_policy
from lichenquay.admission.endpoint_list import EndpointStaleness
from lichenquay.gateway.client_connection import ClientConnection
from lichenquay.gateway.discovery_connection import DiscoveryConnection
from lichenquay.gateway.endpoint_watch import EndpointWatch
from lichenquay.gateway.process_pauses import ProcessPauses
from lichenquay.gateway.service import Service

PERIOD = 25  # one answer in as many is affected
NEWS_DELAY_S = 0.1  # less than the grace: it is late only after a pause


def answer_twice() -> None:
    """Sends some answers twice."""
    send_answer = ClientConnection.send_answer
    count = 0

    def send_twice(self, query, code, body):
        nonlocal count
        count += 1
        is_open = query.stream in self.open_queries
        send_answer(self, query, code, body)
        if count % PERIOD == 0 and is_open:
            self.open_queries[query.stream] = query
            send_answer(self, query, code, body)

    ClientConnection.send_answer = send_twice


def lose_answers() -> None:
    """Does not send some answers."""
    send_answer = ClientConnection.send_answer
    count = 0

    def lose(self, query, code, body):
        nonlocal count
        count += 1
        if count % PERIOD:
            send_answer(self, query, code, body)
        else:
            self.open_queries.pop(query.stream, None)

    ClientConnection.send_answer = lose


def repeat_mutating() -> None:
    """Sends mutating queries again after any end of an attempt."""
    retry_policy.have_all_attempts_ended_harmlessly = lambda query: True


def ignore_sigterm() -> None:
    """Does not end at SIGTERM."""
    Service.leave = lambda self: None


def ignore_cancellations() -> None:
    """Goes on with queries whose clients have gone."""
    ClientConnection._on_cancel = lambda self, stream: None
    ClientConnection._cancel_query = lambda self, query: None


def leave_news_unread() -> None:
    """Reads the endpoint list's news after what clients have sent, also after a pause of the process."""
    data_received = DiscoveryConnection.dataReceived

    def receive_later(self, data):
        self.owner.reactor.callLater(NEWS_DELAY_S, data_received, self, data)

    DiscoveryConnection.dataReceived = receive_later
    Service._read_news = lambda self, in_flight: None
    EndpointWatch.read_pending = lambda self: None
    EndpointStaleness.suspends_dispatch = EndpointStaleness.is_stale


def time_from_reading() -> None:
    """Counts the time of requests from when they are read, also after a pause of the process."""
    ProcessPauses.earliest_arrival_ms = lambda self, now_ms: now_ms


PLANTED: dict[str, Callable[[], None]] = {
    "answers twice": answer_twice,
    "answers lost": lose_answers,
    "mutating queries repeated": repeat_mutating,
    "SIGTERM ignored": ignore_sigterm,
    "cancellations ignored": ignore_cancellations,
    "news left unread": leave_news_unread,
    "requests timed from their reading": time_from_reading,
}


if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    sys.argv = ["lichenquay.gateway"]
    runpy.run_module("lichenquay.gateway", run_name="__main__", alter_sys=True)
