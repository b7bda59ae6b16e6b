"""What a gateway and a control process do alike around their service: signals, start and exit code."""

import signal
import sys
from collections.abc import Callable, Mapping

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block_signals() -> None:
    """From the program's first line on: what comes during its start waits for `install_signal_handlers`.

    A signal during a third of a second of imports would end the process without an answer.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def install_signal_handlers(reactor, handlers: Mapping[int, Callable[[], None]]) -> None:
    """Calls each signal's handler in a turn of the reactor; signals that were blocked come now."""
    for number, handler in handlers.items():
        signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)


def run_service(name: str, reactor, make_service: Callable, start_error: type[Exception]) -> int:
    """Runs a service until it stops the reactor; returns the exit code, 1 where it could not start.

    make_service: makes the service, or raises `start_error`, as its `start` does. Its `log_counters` is
    called last.
    """
    try:
        service = make_service()
        service.start()
    except start_error as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 1
    reactor.run()
    for number in HANDLED_SIGNALS:  # one more signal to stop must not end it without its last lines
        signal.signal(number, signal.SIG_IGN)
    service.log_counters()
    return 0
