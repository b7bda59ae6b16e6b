"""`run`: one real front, from its start to its exit."""

from lichenquay.process import block_signals, run

# Risk: a signal during the start (a third of a second of imports, then the door) ends the process without a word. From
# this first line on they wait, and are heard once `Service.run` has its handlers.
block_signals()

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from twisted.internet import reactor  # noqa: E402

from lichenquay.gateway.service import CannotStart, Service  # noqa: E402

# Risk: the reactor's own clock is the wall's; where that steps back an hour, nothing due happens for an hour.
reactor.seconds = time.monotonic
sys.exit(run("lichenquay.gateway", reactor, lambda: Service(reactor, os.environ), CannotStart))
