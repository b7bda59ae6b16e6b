"""Takes orders from standard input into a process's reactor."""

import sys
import threading

from lichenquay.testbed.scale.commands import UnknownOrderError, order_of


def read_orders(reactor, take, ended):
    """Starts a thread that calls `take(order)` in the reactor for each line, and `ended()` at the end of
    input.
    """

    def run():
        for line in sys.stdin:
            try:
                order = order_of(line)
            except UnknownOrderError as unknown:
                print(f"no order: {unknown}", file=sys.stderr, flush=True)
                continue
            reactor.callFromThread(take, order)
        reactor.callFromThread(ended)

    threading.Thread(target=run, name="orders", daemon=True).start()


def stop(reactor):
    """Ends a reactor that may have ended already."""
    if reactor.running:
        reactor.stop()


def answer(line):
    """One line to whoever gives the orders."""
    print(line, flush=True)
