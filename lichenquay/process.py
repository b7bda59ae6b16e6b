"""What a front and a control process do alike round their service: signals, start and exit code."""

import signal
import sys

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block_signals():
    """From the program's first line on: what comes during its start waits for `hear_signals`.

    Risk: a signal during a third of a second of imports ends the process without a word.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def hear_signals(reactor, calls):
    """calls: {signal: call}, each in the reactor's turn. What came since the first line is heard now."""
    for number, call in calls.items():
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, calls)


def run(name, reactor, make, failure):
    """Runs a service until it stops the reactor. The exit code: 1 where it could not start.

    make() gives the service, or raises `failure`, as its start() does; tell() says its last lines.
    """
    try:
        service = make()
        service.start()
    except failure as why:
        print(f"{name}: {why}", file=sys.stderr)
        return 1
    reactor.run()
    for number in SIGNALS:  # risk: told once more to stop, it ends by the signal after all
        signal.signal(number, signal.SIG_IGN)
    service.tell()
    return 0
