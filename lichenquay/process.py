"""Signal handling, startup and exit code that gateway and control processes share."""

import signal
import sys
from collections.abc import Callable, Mapping

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block_signals() -> None:
    """Blocks the handled signals until `install_signal_handlers`, which delivers pending ones.

    Called on the program's first line: a signal during the imports, which take a third of a second, would
    otherwise end the process without being handled.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def install_signal_handlers(reactor, handlers: Mapping[int, Callable[[], None]]) -> None:
    """Makes each signal call its handler in the reactor thread, and delivers signals that were blocked."""
    for number, handler in handlers.items():
        signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)


def run_service(name: str, reactor, make_service: Callable, start_error: type[Exception]) -> int:
    """Runs a service until it stops the reactor; returns the exit code, 1 if it could not start.

    make_service: returns the service, or raises `start_error`, as the service's `start` may. The service's
    `log_counters` is called last.
    """
    try:
        service = make_service()
        service.start()
    except start_error as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 1
    reactor.run()
    for number in HANDLED_SIGNALS:  # a further signal must not end the process before its counters are logged
        signal.signal(number, signal.SIG_IGN)
    service.log_counters()
    return 0
