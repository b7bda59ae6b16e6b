"""Runs a gateway with a fault that the audit of a soak run has to find: `planted_faults.py NAME`."""

import runpy
import sys
from collections.abc import Callable

from lichenquay.admission import retry_policy
from lichenquay.gateway.client_connection import ClientConnection
from lichenquay.gateway.service import Service

PERIOD = 25  # one answer in as many is affected


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


PLANTED: dict[str, Callable[[], None]] = {
    "answers twice": answer_twice,
    "answers lost": lose_answers,
    "mutating queries repeated": repeat_mutating,
    "SIGTERM ignored": ignore_sigterm,
    "cancellations ignored": ignore_cancellations,
}


if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    sys.argv = ["lichenquay.gateway"]
    runpy.run_module("lichenquay.gateway", run_name="__main__", alter_sys=True)
