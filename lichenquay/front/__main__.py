"""`run`: one real front, from its start to its exit."""

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
# Risk: a signal during the start (a third of a second of imports, then the door) ends the process without a word. From
# this first line on they wait, and are heard once `Service.run` has its handlers.
signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from twisted.internet import reactor  # noqa: E402

from lichenquay.front.service import CannotStart, Service  # noqa: E402


# Risk: the reactor's own clock is the wall's; where that steps back an hour, nothing due happens for an hour.
reactor.seconds = time.monotonic


def main():
    try:
        service = Service(reactor, os.environ)
        service.start()
    except CannotStart as why:
        print(f"lichenquay.front: {why}", file=sys.stderr)
        return 1
    reactor.run()
    for number in SIGNALS:  # risk: told once more to stop, it ends by the signal after all
        signal.signal(number, signal.SIG_IGN)
    service.tell()
    return 0


sys.exit(main())
